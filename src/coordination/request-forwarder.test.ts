import {Buffer} from 'node:buffer';
import {expect, test} from 'vitest';
import {
	Err, Ok, createFailure, type EventLog, type Failure, type GatewayWire, type Route, type UpstreamEntry,
} from '../protocol/mod.js';
import {createCrashBook, createUpstreamDirectory} from '../state/mod.js';
import {createSystemClock, type CallFailure, type UpstreamCall} from '../transport/mod.js';
import {
	createQuarantine, createRequestForwarder, createRetryBudget, createUpstreamBook, type ForwardRequest,
} from './mod.js';

const events: EventLog = {write: () => undefined, counts: new Map()};

/** What an upstream does with the next call. */
type Script =
	| {readonly fails: CallFailure['kind']}
	| {readonly status: number; readonly headers?: Record<string, string>; readonly chunks: readonly string[]; readonly breaks?: boolean; readonly isSilent?: boolean};

const wire: GatewayWire = {
	readinessPath: '/ready',
	readRequest: () => Ok({}),
	buildForwardHeaders: (_raw, facts) => [facts.lastEvent ?? '', facts.upstream],
	readId: () => undefined,
	readAnswer: (status, headers) => ({
		isOtherUpstream: status === 421,
		requestId: headers.id as string | undefined, hasNotRun: headers['not-run'] !== undefined, isMarked: headers.mark !== undefined,
	}),
	buildAnswerHeaders: raw => [...raw],
	formatRetryAfter: () => ['retry-after', '1'],
};

const stream = {'content-type': 'text/event-stream', mark: 'm', id: 'r1'};
const whole = {mark: 'm', id: 'r1'};

function createWorld(scripts: Script[]) {
	const clock = createSystemClock();
	const directory = createUpstreamDirectory();
	for (const id of ['u1', 'u2', 'u3']) {
		const entry: UpstreamEntry = {
			id, service: 's', address: id, failureDomain: 'd', slots: 4, isDraining: false, warmUp: 0,
		};
		directory.put(entry, 0);
	}

	const crashed = new Set<string>();
	const quarantine = createQuarantine({
		book: createCrashBook(), daemon: 'g', listPeers: () => [], clock, events, onChange: () => undefined, onCrash: () => undefined,
	});
	const calls: UpstreamCall[] = [];
	const sent = {
		status: 0, body: '', isCut: false, hasEnded: false, refused: undefined as Failure | undefined,
	};

	async function * readChunks(script: Exclude<Script, {fails: unknown}>, signal: AbortSignal): AsyncIterableIterator<Uint8Array> {
		for (const chunk of script.chunks) {
			yield Buffer.from(chunk);
		}

		if (script.isSilent) {
			await new Promise(resolve => {
				signal.addEventListener('abort', resolve);
			});
			throw new Error('aborted');
		}

		if (script.breaks) {
			throw new Error('reset');
		}
	}

	const forwarder = createRequestForwarder({
		wire, clock, events,
		book: createUpstreamBook({
			directory, clock, failureDomain: 'd', sumPeerUse: upstream => ({upstream, inFlight: 0, waitingTokens: 0}),
		}),
		findRetries: () => retries,
		quarantine,
		crashes: {hasCrashed: async ({id}) => crashed.has(id)},
		client: {
			async call(call) {
				calls.push(call);
				const script = scripts.shift() ?? {fails: 'broken'};
				if ('fails' in script) {
					return Err({kind: script.fails, detail: script.fails});
				}

				const headers = script.headers ?? whole;
				return Ok({
					status: script.status, headers, rawHeaders: Object.entries(headers).flat(), chunks: readChunks(script, call.signal), abandon: () => undefined,
				});
			},
			close: async () => undefined,
		},
	});
	const retries = createRetryBudget({share: 0.2, burst: 10});

	async function forward(route: Partial<Route>, deadline = 5000) {
		const leaving = new AbortController();
		const request: ForwardRequest = {
			id: 'r1',
			digest: 'd1',
			route: {
				id: 'r', host: 'h', prefix: '/', kind: 'stream', timeout: deadline, objective: 300, priority: 0, isOpen: true, attempts: 2, isResumable: false, targets: [{service: 's', weight: 1}], ...route,
			},
			service: {id: 's', connectionLimit: 10},
			customer: undefined, priority: 0, method: 'POST', path: '/', rawHeaders: [], body: undefined, generation: undefined, lastEvent: undefined,
			startedAt: clock.now(), deadline: clock.now() + deadline, signal: leaving.signal,
			answer: {
				hasStarted: () => sent.status > 0,
				start(status) {
					sent.status = status;
				},
				async write(bytes) {
					sent.body += Buffer.from(bytes).toString();
				},
				end(bytes) {
					sent.body += Buffer.from(bytes ?? []).toString();
					sent.hasEnded = true;
				},
				cut() {
					sent.isCut = true;
				},
				refuse(failure) {
					sent.refused = failure;
				},
			},
		};
		return forwarder.forward(request);
	}

	return {
		forward, calls, sent, retries, directory, crashed, quarantine,
	};
}

test('a booking whose answer is lost is not sent again and not called refused', async () => {
	// A family is booked twice: the first upstream ran the booking and its
	// answer was lost; the gateway took silence for "not run".
	const world = createWorld([{fails: 'broken'}, {status: 200, chunks: ['ok']}]);
	const report = await world.forward({kind: 'once'});
	expect(world.calls.length).toBe(1);
	expect(world.sent.refused?.type).toBe('outcome-unknown');
	expect(report.mayHaveRun).toBe(true);
});

test('a booking that was never sent goes to another upstream', async () => {
	const world = createWorld([{fails: 'unsent'}, {status: 200, chunks: ['ok']}]);
	const report = await world.forward({kind: 'once', attempts: 1});
	expect(world.sent.body).toBe('ok');
	expect(report.sends).toBe(1);
});

test('a booking that an upstream promises not to have run may be refused as such', async () => {
	const world = createWorld([{status: 503, headers: {'not-run': '1'}, chunks: []}]);
	const report = await world.forward({kind: 'once', attempts: 1});
	expect(world.sent.refused?.type).toBe('overloaded');
	expect(world.sent.refused?.ran).toBe('no');
	expect(report.mayHaveRun).toBe(false);
});

test('an answer to another request is not passed on', async () => {
	// A caller gets the answer to somebody else's request: the upstream sent an
	// extra one, which stood where the next answer was due.
	const world = createWorld([{status: 200, headers: {...whole, id: 'r0'}, chunks: ['theirs']}, {status: 200, chunks: ['mine']}]);
	await world.forward({kind: 'idempotent'});
	expect(world.sent.body).toBe('mine');
});

test('a booking that got another request\'s answer is not called refused', async () => {
	// A family is told that its booking has not run, books again, and holds two
	// slots: the booking was sent, and another request's answer came in its place.
	const world = createWorld([{status: 200, headers: {...whole, id: 'r0'}, chunks: ['theirs']}]);
	const report = await world.forward({kind: 'once'});
	expect(world.sent.refused?.type).toBe('outcome-unknown');
	expect(report.mayHaveRun).toBe(true);
});

test('an answer without the upstream\'s mark is not passed on as a success', async () => {
	const world = createWorld([{status: 200, headers: {id: 'r1'}, chunks: ['forged']}]);
	await world.forward({kind: 'once'});
	expect(world.sent.refused?.type).toBe('outcome-unknown');
});

test('a torn answer to an idempotent request is made good elsewhere', async () => {
	const world = createWorld([{status: 200, chunks: ['ha'], breaks: true}, {status: 200, chunks: ['whole']}]);
	await world.forward({kind: 'idempotent'});
	expect(world.sent.body).toBe('whole');
});

test('a booking goes on from an address that another upstream has', async () => {
	// All engines have lost power and come back under other names. The old
	// entries stand for seconds, and a booking is refused though nobody ran it
	// and the others are free, as its route allows one upstream only.
	const world = createWorld([{status: 421, headers: {'not-run': '1'}, chunks: []}, {status: 200, chunks: ['ok']}]);
	const report = await world.forward({kind: 'once', attempts: 1});
	expect(world.sent.body).toBe('ok');
	expect(report.sends).toBe(1);
});

test('an upstream that was found gone from its address gets nothing until it registers again', async () => {
	// Each request of a prompt goes to the same dead entry, one after the other.
	const world = createWorld([{status: 421, headers: {'not-run': '1'}, chunks: []}, ...Array.from({length: 5}, () => ({status: 200, chunks: ['ok']}))]);
	await world.forward({kind: 'idempotent'});
	const moved = world.calls[0]!.address;
	for (let index = 0; index < 4; index += 1) {
		await world.forward({kind: 'idempotent'});
	}

	expect(world.calls.slice(1).map(({address}) => address)).not.toContain(moved);
	world.directory.put(world.directory.get(moved)!, 1);
	expect(world.directory.isLive(moved, 1)).toBe(true);
});

test('going on from wrong addresses draws on the retry budget', async () => {
	const world = createWorld(Array.from({length: 9}, () => ({status: 421, headers: {'not-run': '1'}, chunks: []})));
	while (world.retries.take()) {
		// Uses the budget up.
	}

	await world.forward({kind: 'once', attempts: 1});
	expect(world.calls.length).toBe(1);
	expect(world.sent.refused?.type).toBe('overloaded');
});

test('an upstream\'s own failure is passed on when a second try fails too', async () => {
	const world = createWorld([{status: 500, chunks: ['one']}, {status: 500, chunks: ['two']}]);
	const report = await world.forward({kind: 'idempotent'});
	expect(world.sent.status).toBe(500);
	expect(world.sent.body).toBe('two');
	expect(report.result).toBe('passed-on');
});

test('a stream that breaks off in an event goes on after the last whole one', async () => {
	// A letter arrives with half a sentence twice: the engine stopped in the
	// middle of an event, and the next one began with that event anew.
	const world = createWorld([
		{
			status: 200, headers: stream, chunks: ['id: 1\ndata: a\n\nid: 2\nda'], breaks: true,
		},
		{status: 200, headers: stream, chunks: ['id: 2\ndata: b\n\n']},
	]);
	const report = await world.forward({isResumable: true});
	expect(world.calls[1]!.headers[0]).toBe('1');
	expect(world.sent.body).toBe('id: 1\ndata: a\n\nid: 2\ndata: b\n\n');
	expect(world.sent.hasEnded).toBe(true);
	expect(report.events).toBe(2);
});

test('a stream that may not be resumed is cut, not ended', async () => {
	const world = createWorld([{
		status: 200, headers: stream, chunks: ['id: 1\ndata: a\n\n'], breaks: true,
	}]);
	const report = await world.forward({isResumable: false});
	expect(world.sent.isCut).toBe(true);
	expect(world.sent.hasEnded).toBe(false);
	expect(report.result).toBe('cut');
});

test('a stream that ends in the middle of an event is not whole', async () => {
	const world = createWorld([{status: 200, headers: stream, chunks: ['id: 1\ndata: a\n\nid: 2']}]);
	await world.forward({isResumable: false});
	expect(world.sent.isCut).toBe(true);
});

test('a silent stream goes on elsewhere if it may be resumed', async () => {
	// A caller watches a stream stand still until its time is up: the
	// connection to the engine went silent for good, and others would work.
	const world = createWorld([
		{
			status: 200, headers: stream, chunks: ['id: 1\ndata: a\n\n'], isSilent: true,
		},
		{status: 200, headers: stream, chunks: ['id: 2\ndata: b\n\n']},
	]);
	await world.forward({isResumable: true, objective: 100});
	expect(world.sent.body).toBe('id: 1\ndata: a\n\nid: 2\ndata: b\n\n');
});

test('attempts and the retry budget bound how often a request is sent', async () => {
	const world = createWorld(Array.from({length: 9}, () => ({status: 500, chunks: ['x']})));
	await world.forward({kind: 'idempotent', attempts: 2});
	expect(world.calls.length).toBe(2);
	while (world.retries.take()) {
		// Uses the budget up.
	}

	await world.forward({kind: 'idempotent', attempts: 2});
	expect(world.calls.length).toBe(3);
});

test('describes an unknown outcome as such at the deadline', async () => {
	const world = createWorld([{status: 200, chunks: [], isSilent: true}]);
	await world.forward({kind: 'once'}, 60);
	expect(world.sent.refused).toEqual(createFailure('deadline-passed', world.sent.refused!.detail, {ran: 'unknown'}));
});

test('a request that still waits for its connection is wanted until its upstream leaves', async () => {
	const world = createWorld([{status: 200, chunks: ['ok']}]);
	await world.forward({kind: 'idempotent'});
	const [call] = world.calls;
	expect(call!.isStillWanted()).toBe(true);
	world.directory.put({...world.directory.get(call!.address)!, isDraining: true}, 1);
	expect(call!.isStillWanted()).toBe(false);
});

// Guards against one sending of a caller's that ends an upstream with each of its attempts.
test('a request under which two upstreams crashed is not sent to a third', async () => {
	const world = createWorld([{fails: 'broken'}, {fails: 'broken'}, {status: 200, chunks: ['ok']}]);
	world.crashed.add('u1').add('u2').add('u3');
	await world.forward({kind: 'idempotent', attempts: 3});
	expect(world.calls.length).toBe(2);
	expect(world.sent.refused?.type).toBe('outcome-unknown');
	expect(world.quarantine.listAll()).toMatchObject([{digest: 'd1', crashes: 2}]);
});

// Guards against a suspicion of requests whose connections something in between resets.
test('a request whose connection broke off at a live upstream is sent on and not suspected', async () => {
	const world = createWorld([{fails: 'broken'}, {fails: 'broken'}, {status: 200, chunks: ['ok']}]);
	await world.forward({kind: 'idempotent', attempts: 3});
	expect(world.sent.body).toBe('ok');
	expect(world.quarantine.listAll()).toEqual([]);
});

test('an answer after a crash clears the request', async () => {
	const world = createWorld([{fails: 'broken'}, {status: 200, chunks: ['ok']}]);
	world.crashed.add('u1').add('u2').add('u3');
	await world.forward({kind: 'idempotent'});
	expect(world.quarantine.listAll()).toMatchObject([{digest: 'd1', crashes: 0}]);
	expect(world.sent.body).toBe('ok');
});

// Guards against a suspicion of requests that their own time limit or a silent upstream has ended.
test('a request that is given up is not suspected', async () => {
	const script = {
		status: 200, headers: stream, chunks: [], isSilent: true,
	};
	const world = createWorld([script]);
	world.crashed.add('u1').add('u2').add('u3');
	await world.forward({kind: 'stream'}, 100);
	expect(world.calls.length).toBe(1);
	expect(world.quarantine.listAll()).toEqual([]);
});
