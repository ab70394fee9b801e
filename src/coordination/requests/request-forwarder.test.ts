import {Buffer} from 'node:buffer';
import {setTimeout as wait} from 'node:timers/promises';
import {expect, test} from 'vitest';
import {createUnlimitedEligibility} from '../../../tools/harness/unlimited-upstreams.js';
import {
	Err, Ok, createFailure, type EventLog, type Failure, type GatewayWire, type Route, type UpstreamRegistration,
} from '../../protocol/mod.js';
import {
	createCrashRegistry, createPartCrashRegistry, createUpstreamDirectory, createUpstreamRests, type StreamOrigin,
} from '../../state/mod.js';
import {createSystemClock, type CallFailure, type UpstreamCall} from '../../transport/mod.js';
import {
	CachedPromptSource, createCrashDetector, createPartQuarantine, createQuarantine, createRequestForwarder, createRetryBudget, createTrafficCounter, createUpstreamRegistry, type CreateRequestForwarderOptions, type ForwardRequest, type RetryBudget,
} from '../mod.js';

const events: EventLog = {write: () => undefined, counts: new Map()};

/** How an upstream responds to the next call. */
type UpstreamResponse =
	| {readonly fails: CallFailure['kind']}
	/** The call throws, before the request is written or while its answer is read. */
	| {readonly throws: 'before' | 'after'}
	| {readonly status: number; readonly headers?: Record<string, string>; readonly chunks: readonly string[]; readonly isReset?: boolean; readonly hangs?: boolean; /** Silence before the last chunk, in milliseconds. */ readonly silentMs?: number};

const wire: GatewayWire = {
	readinessPath: '/ready',
	reportPath: '/report',
	readReportedStart: () => undefined,
	readRequest: () => Ok({}),
	buildForwardHeaders: (_raw, metadata) => [metadata.lastEventId ?? '', metadata.upstream],
	readRequestId: () => undefined,
	readAnswer: (status, headers) => ({
		isWrongUpstream: status === 421,
		requestId: headers.id as string | undefined, hasNotRun: headers['not-run'] !== undefined, hasUpstreamSignature: headers.mark !== undefined,
	}),
	buildAnswerHeaders: raw => [...raw],
	formatRetryAfter: () => ['retry-after', '1'],
};

const streamHeaders = {'content-type': 'text/event-stream', mark: 'm', id: 'r1'};
const bufferedHeaders = {mark: 'm', id: 'r1'};

type FixtureOptions = {
	/** Returns false if an upstream may not get a request that is about to be written. */
	readonly admitsSend?: () => boolean;
	/** Software version of each upstream; undefined if it registers none. */
	readonly versions?: Readonly<Record<string, string | undefined>>;
	/** Whether every answer says that all upstreams rest for 3 s. */
	readonly areAllAtRest?: boolean;
	/** Time until the gateway stops; by default it does not. */
	readonly stopRemainingMs?: number;
	/** What is found of the starts of upstreams; by default that every registration holds. */
	readonly startChecker?: Partial<CreateRequestForwarderOptions['startChecker']>;
	/** Called when the origin of a stream is recorded. */
	readonly onRecord?: () => void;
};

/** Empties a retry budget and returns what was left in it. */
function countLeft(retries: RetryBudget): number {
	let count = 0;
	while (retries.tryWithdraw()) {
		count += 1;
	}

	return count;
}

function createFixture(responses: UpstreamResponse[], {versions = {u1: 'v1', u2: 'v1', u3: 'v1'}, areAllAtRest = false, stopRemainingMs = Number.POSITIVE_INFINITY, startChecker, admitsSend = () => true, onRecord = () => undefined}: FixtureOptions = {}) {
	const clock = createSystemClock();
	const directory = createUpstreamDirectory();
	for (const id of ['u1', 'u2', 'u3']) {
		const registration: UpstreamRegistration = {
			id, service: 's', address: id, failureDomain: 'd', slots: 4, isDraining: false, warmUp: 0, softwareVersion: versions[id],
		};
		directory.put(registration, 0);
	}

	const crashed = new Set<string>();
	const quarantine = createQuarantine({
		crashRegistry: createCrashRegistry(), daemon: 'g', listPeers: () => [], clock, events, onChange: () => undefined, onCrash: () => undefined,
	});
	const partQuarantine = createPartQuarantine({
		registry: createPartCrashRegistry(), clock, events, onChange: () => undefined, onCrash: () => undefined, claimTrial: async () => false,
	});
	const calls: UpstreamCall[] = [];
	/** Upstreams whose answers were read for what they say of themselves. */
	const noticed: string[] = [];
	const recorded: Array<StreamOrigin & {readonly stream: string}> = [];
	/** Names of the events, addresses of the abandoned answers, and upstreams that were recorded as unresponsive. */
	const [written, abandoned, unresponsive]: [string[], string[], string[]] = [[], [], []];
	const received = {
		status: 0, body: '', isCut: false, hasEnded: false, refused: undefined as Failure | undefined,
	};

	async function * readChunks(response: Extract<UpstreamResponse, {status: number}>, signal: AbortSignal): AsyncIterableIterator<Uint8Array> {
		for (const [index, chunk] of response.chunks.entries()) {
			if (response.silentMs !== undefined && index > 0 && index === response.chunks.length - 1) {
				await wait(response.silentMs, undefined, {signal});
			}

			yield Buffer.from(chunk);
		}

		if (response.hangs) {
			await new Promise(resolve => {
				signal.addEventListener('abort', resolve);
			});
			throw new Error('aborted');
		}

		if (response.isReset) {
			throw new Error('reset');
		}
	}

	const rests = createUpstreamRests();
	const unlimited = createUnlimitedEligibility({directory, clock, rests});
	const eligibility: typeof unlimited = {...unlimited, admitSend: (...parameters) => admitsSend() && unlimited.admitSend(...parameters)};
	const registry = createUpstreamRegistry({
		eligibility, directory, clock, failureDomain: 'd', sumPeerUse: upstream => ({upstream, inFlight: 0, waitingTokens: 0}),
	});
	const forwarder = createRequestForwarder({
		eligibility,
		wire, clock,
		events: {
			write(name) {
				written.push(name);
			},
			counts: new Map(),
		},
		registry: {
			...registry,
			trackRequest(id, options) {
				return {
					...registry.trackRequest(id, options),
					recordUnresponsive() {
						unresponsive.push(id);
					},
				};
			},
		},
		limitRecorder: {recordAnswer: () => undefined},
		noticeRecorder: {
			recordAnswer({id}) {
				noticed.push(id);
				for (const upstream of areAllAtRest ? directory.listIds() : []) {
					rests.record({id: upstream, startedAt: undefined}, {durationMs: 3000, now: clock.now()});
				}
			},
		},
		startChecker: {
			isOfVersion: async () => true, checkOrigin: async origin => ({origin, isUnread: false}), settleDoubt: async () => true, canConfirm: () => true, queryStart: async () => undefined, recordLost: () => undefined, ...startChecker,
		},
		streamRecorder: {
			recordEvents(stream, origin) {
				onRecord();
				recorded.push({stream, ...origin});
			},
		},
		traffic: createTrafficCounter('d'),
		promptSourcePolicy: new CachedPromptSource(),
		findRetryBudget: () => retries,
		computeStopRemainingMs: () => stopRemainingMs,
		quarantine,
		partQuarantine,
		crashDetector: createCrashDetector({isExpectedUp: () => true, probe: async address => crashed.has(address) ? 'refused' : 'open'}),
		client: {
			async call(call) {
				calls.push(call);
				const response = responses.shift() ?? {fails: 'broken'};
				if ('throws' in response) {
					if (response.throws === 'after') {
						call.shouldStillSend();
					}

					throw new TypeError('Invalid URL');
				}

				if ('fails' in response && response.fails === 'unsent') {
					return Err({kind: 'unsent', detail: 'unsent'});
				}

				if (!call.shouldStillSend()) {
					return Err({kind: 'unsent', detail: 'withheld'});
				}

				if ('fails' in response) {
					return Err({kind: response.fails, detail: response.fails});
				}

				const headers = response.headers ?? bufferedHeaders;
				return Ok({
					status: response.status, headers, rawHeaders: Object.entries(headers).flat(), chunks: readChunks(response, call.signal),
					abandon() {
						abandoned.push(call.address);
					},
				});
			},
			close: async () => undefined,
		},
	});
	const retries = createRetryBudget({ratio: 0.2, burst: 10});

	async function forward(route: Partial<Route>, deadline = 5000, fields: Partial<Pick<ForwardRequest, 'resumes' | 'origin' | 'lastEventId' | 'parts'>> = {}) {
		const callerGone = new AbortController();
		const request: ForwardRequest = {
			id: 'r1',
			resumes: undefined,
			origin: undefined,
			digest: 'd1',
			parts: [],
			route: {
				id: 'r', host: 'h', prefix: '/', kind: 'stream', timeout: deadline, objective: 300, priority: 0, isOpen: true, attempts: 2, isResumable: false, targets: [{service: 's', weight: 1}], ...route,
			},
			service: {id: 's', connectionLimit: 10},
			customer: undefined, priority: 0, method: 'POST', path: '/', rawHeaders: [], body: undefined, generation: undefined, lastEventId: undefined,
			startedAt: clock.now(), deadline: clock.now() + deadline, signal: callerGone.signal,
			answer: {
				hasStarted: () => received.status > 0,
				hasEnded: () => received.hasEnded,
				wasCut: () => received.isCut,
				start(status) {
					received.status = status;
				},
				async write(bytes) {
					received.body += Buffer.from(bytes).toString();
				},
				end(bytes) {
					received.body += Buffer.from(bytes ?? []).toString();
					received.hasEnded = true;
				},
				abort() {
					received.isCut = true;
				},
				refuse(failure) {
					received.refused = failure;
				},
			},
		};
		return forwarder.forward({...request, ...fields});
	}

	return {
		forward, calls, noticed, recorded, written, abandoned, unresponsive, received, retries, directory, crashed, quarantine, partQuarantine,
	};
}

test('a non-idempotent request whose answer is lost is neither sent again nor reported as refused', async () => {
	// Guards against a double booking: the first upstream ran the booking, its
	// answer was lost, and the gateway took the missing answer for "not run".
	const fixture = createFixture([{fails: 'broken'}, {status: 200, chunks: ['ok']}]);
	const report = await fixture.forward({kind: 'once'});
	expect(fixture.calls.length).toBe(1);
	expect(fixture.received.refused?.type).toBe('outcome-unknown');
	expect(report.mayHaveRun).toBe(true);
});

test('a non-idempotent request that was never sent is sent to another upstream', async () => {
	const fixture = createFixture([{fails: 'unsent'}, {status: 200, chunks: ['ok']}]);
	const report = await fixture.forward({kind: 'once', attempts: 1});
	expect(fixture.received.body).toBe('ok');
	expect(report.sends).toBe(1);
});

test.each([
	['before', 'overloaded', 'no'],
	['after', 'outcome-unknown', 'unknown'],
] as const)('a non-idempotent request whose call throws %s it is written gets a true answer', async (throws, type, ran) => {
	// Guards against a connection that is closed without an answer when one call meets an unexpected error.
	const fixture = createFixture([{throws}, {throws}, {throws}]);
	const report = await fixture.forward({kind: 'once', attempts: 1});
	expect([fixture.received.refused?.type, fixture.received.refused?.ran]).toEqual([type, ran]);
	expect(report.mayHaveRun).toBe(ran === 'unknown');
});

test('a request whose placement throws is refused as not run', async () => {
	// Guards against a connection that is closed without an answer when one exchange meets an unexpected error.
	const fixture = createFixture([]);
	fixture.directory.listLive = () => {
		throw new TypeError('The directory is broken');
	};

	const report = await fixture.forward({kind: 'once'});
	expect([fixture.received.refused?.type, fixture.received.refused?.ran]).toEqual(['unexpected-error', 'no']);
	expect(report.result).toBe('refused');
});

test('an idempotent request whose call throws is answered by another upstream', async () => {
	const fixture = createFixture([{throws: 'after'}, {status: 200, chunks: ['ok']}]);
	const report = await fixture.forward({kind: 'idempotent'});
	expect([fixture.received.body, report.result]).toEqual(['ok', 'served']);
});

test('a non-idempotent request that the upstream states it did not run is refused as not run', async () => {
	const fixture = createFixture([{status: 503, headers: {'not-run': '1'}, chunks: []}]);
	const report = await fixture.forward({kind: 'once', attempts: 1});
	expect(fixture.received.refused?.type).toBe('overloaded');
	expect(fixture.received.refused?.ran).toBe('no');
	expect(report.mayHaveRun).toBe(false);
});

test.each([
	['a whole answer', {status: 200, chunks: ['ok']}, 1],
	['a server error', {status: 500, chunks: ['error']}, 1],
	['a refusal', {status: 503, headers: {'not-run': '1'}, chunks: []}, 1],
	['an answer to another request', {status: 200, headers: {...bufferedHeaders, id: 'r0'}, chunks: ['theirs']}, 1],
	['an answer of another upstream at the address', {status: 421, headers: {'not-run': '1'}, chunks: []}, 0],
])('what the upstream says of itself in %s is recorded', async (_, response, count) => {
	// Guards against a notice that is read from some answers only.
	const fixture = createFixture([response]);
	await fixture.forward({kind: 'once', attempts: 1});
	expect(fixture.noticed.length).toBe(count);
});

test('a caller whose request made the last upstream rest may retry when the rest ends', async () => {
	// Guards against callers who return before any upstream takes requests.
	const fixture = createFixture([{status: 503, headers: {'not-run': '1'}, chunks: []}], {areAllAtRest: true});
	await fixture.forward({kind: 'idempotent'});
	expect(fixture.calls.length).toBe(1);
	expect(fixture.received.refused?.retryAfterMs).toBeGreaterThan(2500);
});

test('what the upstream says of itself in a stream is recorded before the stream ends', async () => {
	const fixture = createFixture([{
		status: 200, headers: streamHeaders, chunks: ['id: 1\ndata: a\n\n'], hangs: true,
	}]);
	const pending = fixture.forward({isResumable: false}, 400);
	await expect.poll(() => fixture.received.body).toContain('data: a');
	expect(fixture.noticed.length).toBe(1);
	await pending;
});

test('an answer to another request is not relayed', async () => {
	// Guards against a caller who receives another caller's answer: the upstream
	// sent an extra answer, which was read in place of the next one.
	const fixture = createFixture([{status: 200, headers: {...bufferedHeaders, id: 'r0'}, chunks: ['theirs']}, {status: 200, chunks: ['mine']}]);
	await fixture.forward({kind: 'idempotent'});
	expect(fixture.received.body).toBe('mine');
});

test('a non-idempotent request that received another request\'s answer is not reported as refused', async () => {
	// Guards against a double booking: the booking was sent, another request's
	// answer arrived in its place, the failure reported that the request had not run,
	// and the caller booked again.
	const fixture = createFixture([{status: 200, headers: {...bufferedHeaders, id: 'r0'}, chunks: ['theirs']}]);
	const report = await fixture.forward({kind: 'once'});
	expect(fixture.received.refused?.type).toBe('outcome-unknown');
	expect(report.mayHaveRun).toBe(true);
});

test('an answer without the upstream signature is not relayed as a success', async () => {
	const fixture = createFixture([{status: 200, headers: {id: 'r1'}, chunks: ['forged']}]);
	await fixture.forward({kind: 'once'});
	expect(fixture.received.refused?.type).toBe('outcome-unknown');
});

test('an idempotent request whose answer is interrupted is retried at another upstream', async () => {
	const fixture = createFixture([{status: 200, chunks: ['ha'], isReset: true}, {status: 200, chunks: ['whole']}]);
	await fixture.forward({kind: 'idempotent'});
	expect(fixture.received.body).toBe('whole');
});

test('a non-idempotent request is sent on when another upstream has the address', async () => {
	// Guards against a refused booking after all engines have lost power and
	// restarted under other ids. The old registrations remain for seconds, the
	// route allows a single upstream, and the first one tried has moved, although
	// no upstream ran the booking and others are free.
	const fixture = createFixture([{status: 421, headers: {'not-run': '1'}, chunks: []}, {status: 200, chunks: ['ok']}]);
	const report = await fixture.forward({kind: 'once', attempts: 1});
	expect(fixture.received.body).toBe('ok');
	expect(report.sends).toBe(1);
});

test('an upstream that is no longer at its address gets no requests until it registers again', async () => {
	// Guards against sending every request with the same prompt to the same stale
	// registration, one after the other.
	const fixture = createFixture([{status: 421, headers: {'not-run': '1'}, chunks: []}, ...Array.from({length: 5}, () => ({status: 200, chunks: ['ok']}))]);
	await fixture.forward({kind: 'idempotent'});
	const movedId = fixture.calls[0]!.address;
	for (let index = 0; index < 4; index += 1) {
		await fixture.forward({kind: 'idempotent'});
	}

	expect(fixture.calls.slice(1).map(({address}) => address)).not.toContain(movedId);
	fixture.directory.put(fixture.directory.get(movedId)!, 1);
	expect(fixture.directory.isLive(movedId, 1)).toBe(true);
});

test('retries after a send to a wrong address use up the retry budget', async () => {
	const fixture = createFixture(Array.from({length: 9}, () => ({status: 421, headers: {'not-run': '1'}, chunks: []})));
	while (fixture.retries.tryWithdraw()) {
		// Exhausts the retry budget.
	}

	await fixture.forward({kind: 'once', attempts: 1});
	expect(fixture.calls.length).toBe(1);
	expect(fixture.received.refused?.type).toBe('overloaded');
});

test('a server error of an upstream is relayed if the retry fails too', async () => {
	const fixture = createFixture([{status: 500, chunks: ['one']}, {status: 500, chunks: ['two']}]);
	const report = await fixture.forward({kind: 'idempotent'});
	expect(fixture.received.status).toBe(500);
	expect(fixture.received.body).toBe('two');
	expect(report.result).toBe('passed-on');
});

test('a stream interrupted within an event resumes after the last complete event', async () => {
	// Guards against duplicated text: the engine stopped in the middle of an
	// event, and the next engine repeated that event from its start.
	const fixture = createFixture([
		{
			status: 200, headers: streamHeaders, chunks: ['id: 1\ndata: a\n\nid: 2\nda'], isReset: true,
		},
		{status: 200, headers: streamHeaders, chunks: ['id: 2\ndata: b\n\n']},
	]);
	const report = await fixture.forward({isResumable: true});
	expect(fixture.calls[1]!.headers[0]).toBe('1');
	expect(fixture.received.body).toBe('id: 1\ndata: a\n\nid: 2\ndata: b\n\n');
	expect(fixture.received.hasEnded).toBe(true);
	expect(report.events).toBe(2);
});

test('an interrupted stream that may not be resumed is aborted, not ended', async () => {
	const fixture = createFixture([{
		status: 200, headers: streamHeaders, chunks: ['id: 1\ndata: a\n\n'], isReset: true,
	}]);
	const report = await fixture.forward({isResumable: false});
	expect(fixture.received.isCut).toBe(true);
	expect(fixture.received.hasEnded).toBe(false);
	expect(report.result).toBe('cut');
});

test('a stream that ends in the middle of an event is incomplete', async () => {
	const fixture = createFixture([{status: 200, headers: streamHeaders, chunks: ['id: 1\ndata: a\n\nid: 2']}]);
	await fixture.forward({isResumable: false});
	expect(fixture.received.isCut).toBe(true);
});

test('a stalled stream that may be resumed continues at another upstream', async () => {
	// Guards against a stream that stalls until its deadline because the
	// connection to the engine no longer delivers data, although other engines
	// are available.
	const fixture = createFixture([
		{
			status: 200, headers: streamHeaders, chunks: ['id: 1\ndata: a\n\n'], hangs: true,
		},
		{status: 200, headers: streamHeaders, chunks: ['id: 2\ndata: b\n\n']},
	]);
	await fixture.forward({isResumable: true, objective: 100});
	expect(fixture.received.body).toBe('id: 1\ndata: a\n\nid: 2\ndata: b\n\n');
});

const firstHalf: UpstreamResponse = {
	status: 200, headers: streamHeaders, chunks: ['id: 1\ndata: a\n\n'], isReset: true,
};
const secondHalf: UpstreamResponse = {status: 200, headers: streamHeaders, chunks: ['id: 2\ndata: b\n\n']};

test('a stream goes on only at an upstream of the version that sent its first event', async () => {
	// Guards against events of two software versions in one answer.
	const fixture = createFixture([{fails: 'broken'}, firstHalf, secondHalf], {versions: {u1: 'v1', u2: 'v1', u3: 'v2'}});
	const report = await fixture.forward({isResumable: true, attempts: 4});
	const addresses = fixture.calls.map(({address}) => address);
	const beganAt = addresses[1] === 'u3' ? 'v2' : 'v1';
	expect(addresses.slice(2).every(address => (address === 'u3' ? 'v2' : 'v1') === beganAt)).toBe(true);
	expect(report.result).toBe(addresses.length === 3 ? 'served' : 'cut');
});

test('a stream that broke before its first event goes to an upstream of any version', async () => {
	const fixture = createFixture([{fails: 'broken'}, {...firstHalf, chunks: []}, secondHalf], {versions: {u1: 'v1', u2: 'v2', u3: 'v3'}});
	const report = await fixture.forward({isResumable: true, attempts: 3});
	expect(report.result).toBe('served');
	expect(new Set(fixture.calls.map(({address}) => address)).size).toBe(3);
});

test('a stream whose version is unknown or has no other upstream is cut and logged as such', async () => {
	for (const versions of [{u1: 'v1', u2: 'v2', u3: 'v3'}, {u1: undefined, u2: undefined, u3: undefined}]) {
		const fixture = createFixture([firstHalf, secondHalf], {versions});
		const report = await fixture.forward({isResumable: true, attempts: 3});
		expect(fixture.calls.length).toBe(1);
		expect(fixture.received.isCut).toBe(true);
		expect(report.reason).toMatch(/only upstreams of version/);
	}
});

test('a stream goes on nowhere if its upstream registered with another version meanwhile', async () => {
	const fixture = createFixture([firstHalf, secondHalf]);
	const pending = fixture.forward({isResumable: true, attempts: 3});
	const {address} = fixture.calls[0]!;
	fixture.directory.put({...fixture.directory.get(address)!, softwareVersion: 'v2'}, 1);
	const report = await pending;
	expect(report.result).toBe('cut');
	expect(fixture.calls.length).toBe(1);
});

test('a stream that waits for a connection is not written once its upstream has another version', async () => {
	// Guards against requests that were placed seconds ago: the version is checked again just before the write.
	const fixture = createFixture([firstHalf, secondHalf]);
	await fixture.forward({isResumable: true, attempts: 2});
	const [, second] = fixture.calls;
	expect(second!.shouldStillSend()).toBe(true);
	fixture.directory.put({...fixture.directory.get(second!.address)!, softwareVersion: 'v2'}, 1);
	expect(second!.shouldStillSend()).toBe(false);
});

test('a stream that its caller resumes goes only to upstreams of the version that began it, at most once', async () => {
	const versions = {u1: 'v1', u2: 'v2', u3: 'v3'};
	const fixture = createFixture([secondHalf], {versions});
	const report = await fixture.forward({isResumable: true}, 5000, {resumes: 'r0', origin: {service: 's', softwareVersion: 'v2'}, lastEventId: '1'});
	expect(report.result).toBe('served');
	expect(fixture.calls.map(({address}) => address)).toEqual(['u2']);
	expect(fixture.recorded).toEqual([{stream: 'r0', service: 's', softwareVersion: 'v2'}]);
});

test('a stream that its caller resumes is refused at once if no upstream of its version is left', async () => {
	const fixture = createFixture([secondHalf]);
	const report = await fixture.forward({isResumable: true}, 5000, {resumes: 'r0', origin: {service: 's', softwareVersion: 'v2'}, lastEventId: '1'});
	expect(fixture.calls).toEqual([]);
	expect(report.mayHaveRun).toBe(false);
	expect(fixture.received.refused).toMatchObject({type: 'stream-unresumable', ran: 'no', retryAfterMs: 2000});
});

test('an answer of a process whose version is not known is not passed on, and the stream goes on elsewhere', async () => {
	// Guards against events of an upstream that started again with another version and has not registered.
	const sentTo: string[] = [];
	const fixture = createFixture([{...secondHalf, chunks: ['id: 2\ndata: other\n\n']}, secondHalf], {
		startChecker: {
			async isOfVersion({registered: {id}}) {
				sentTo.push(id);
				return sentTo.length > 1;
			},
		},
	});
	const report = await fixture.forward({isResumable: true}, 5000, {resumes: 'r0', origin: {service: 's', softwareVersion: 'v1'}, lastEventId: '1'});
	expect(report.result).toBe('served');
	expect(new Set(sentTo).size).toBe(2);
	expect(fixture.received.body).toBe('id: 2\ndata: b\n\n');
});

test('no check of a start outlasts the deadline of its request', async () => {
	// Guards against callers who wait for the report of another upstream, and requests that are held, after their time has ended.
	const respondLate = async () => wait(3000, undefined as never, {ref: false});
	for (const startChecker of [{isOfVersion: respondLate}, {checkOrigin: respondLate}, {settleDoubt: respondLate}]) {
		const fixture = createFixture([firstHalf, secondHalf], {startChecker});
		const report = await Promise.race([fixture.forward({isResumable: true}, 200), wait(1500)]);
		expect(report, Object.keys(startChecker)[0]).toBeDefined();
	}
});

test('a stream whose version turns out unknown when it breaks is cut and recorded so', async () => {
	// Guards against a stream that goes on with the version of an earlier start.
	const fixture = createFixture([firstHalf, secondHalf], {
		startChecker: {checkOrigin: async ({service}) => ({origin: {service, softwareVersion: undefined}, isUnread: false})},
	});
	await fixture.forward({isResumable: true});
	expect(fixture.calls.length).toBe(1);
	expect(fixture.received).toMatchObject({body: 'id: 1\ndata: a\n\n', isCut: true});
	expect(fixture.recorded.map(({softwareVersion}) => softwareVersion)).toEqual(['v1', undefined]);
});

test('a lost or refused connection to an upstream is recorded before the stream goes on elsewhere', async () => {
	const lost: string[] = [];
	const fixture = createFixture([firstHalf, {fails: 'unsent'}, secondHalf], {
		startChecker: {
			recordLost(id) {
				lost.push(id);
			},
		},
	});
	await fixture.forward({isResumable: true});
	expect(lost).toEqual(fixture.calls.slice(0, 2).map(({address}) => address));
});

test('the origin of a stream is recorded before its first event is sent to the caller, and only if it may be resumed', async () => {
	for (const isResumable of [true, false]) {
		const fixture = createFixture([{...firstHalf, isReset: false}]);
		await fixture.forward({isResumable});
		expect(fixture.recorded).toEqual(isResumable ? [{stream: 'r1', service: 's', softwareVersion: 'v1'}] : []);
	}
});

test('a stalled stream that no other upstream may continue is not ended early', async () => {
	// Guards against streams that are cut although their upstream may still answer.
	const fixture = createFixture([{...firstHalf, isReset: false, hangs: true}], {versions: {u1: 'v1', u2: 'v2', u3: 'v3'}});
	const startedAt = performance.now();
	await fixture.forward({isResumable: true, objective: 100, attempts: 3}, 1800);
	expect(performance.now() - startedAt).toBeGreaterThan(1700);
});

/** A stream whose upstream is silent after its first event for longer than the stall timeout, and goes on. */
function createSilent(first: number, {silentMs = 1600} = {}): UpstreamResponse {
	return {
		status: 200, headers: streamHeaders, chunks: [`id: ${first}\ndata: a\n\n`, `id: ${first + 1}\ndata: a\n\n`], silentMs,
	};
}

test('a stream is not given up for upstreams whose events would not be believed', async () => {
	// Guards against streams that are cut at their second engine because that does not answer the request for its report.
	const queried: string[] = [];
	const fixture = createFixture([createSilent(1), createSilent(2)], {
		startChecker: {
			isOfVersion: async () => false,
			canConfirm: () => undefined,
			async queryStart({id}) {
				queried.push(id);
			},
		},
	});
	await fixture.forward({isResumable: true, objective: 300}, 3500);
	expect(fixture.calls.length).toBe(1);
	expect(fixture.received).toMatchObject({body: 'id: 1\ndata: a\n\nid: 2\ndata: a\n\n', isCut: false});
	expect(queried.length).toBeGreaterThan(0);
});

test('a stream that breaks goes on at an upstream whose events are believed before others', async () => {
	const fixture = createFixture([firstHalf, secondHalf], {startChecker: {canConfirm: ({id}) => id !== 'u2'}});
	await fixture.forward({isResumable: true});
	expect(fixture.calls.length).toBe(2);
	expect(fixture.calls[1]!.address).not.toBe('u2');
});

test('a stream whose upstreams are silent in both of its attempts ends whole', async () => {
	// Guards against a stream that is cut because its last attempt is given up: an engine that is short of memory preempts a
	// request for seconds and then goes on.
	const fixture = createFixture([createSilent(1), createSilent(2), createSilent(3)]);
	const report = await fixture.forward({isResumable: true, objective: 100, attempts: 2});
	expect(fixture.calls.length).toBe(2);
	expect([report.result, report.events, fixture.received.hasEnded]).toEqual(['served', 3, true]);
	expect(countLeft(fixture.retries)).toBe(9);
});

test('a stream whose upstream is silent while the retry budget is empty ends whole', async () => {
	const fixture = createFixture([createSilent(1), createSilent(2)]);
	countLeft(fixture.retries);
	const report = await fixture.forward({isResumable: true, objective: 100, attempts: 3});
	expect(fixture.calls.length).toBe(1);
	expect([report.result, report.events]).toEqual(['served', 2]);
});

test('a stream whose upstream is silent goes on elsewhere once the retry budget has been filled', async () => {
	// Guards against a stream that is never given up because the budget was empty at the end of the stall timeout.
	const fixture = createFixture([{...firstHalf, isReset: false, hangs: true}, secondHalf]);
	countLeft(fixture.retries);
	const pending = fixture.forward({isResumable: true, objective: 100, attempts: 2});
	await wait(1500);
	expect(fixture.calls.length).toBe(1);
	for (let count = 0; count < 6; count += 1) {
		fixture.retries.deposit();
	}

	const report = await pending;
	expect(report.result).toBe('served');
	expect(fixture.calls.length).toBe(2);
	expect(countLeft(fixture.retries)).toBe(0);
});

test('a stream whose upstream is silent near the deadline is not given up', async () => {
	const fixture = createFixture([createSilent(1, {silentMs: 1950}), createSilent(2)]);
	const report = await fixture.forward({isResumable: true, objective: 600, attempts: 3}, 2300);
	expect(fixture.calls.length).toBe(1);
	expect(report.result).toBe('served');
});

test('a stream whose upstream is silent is not given up shortly before the gateway stops', async () => {
	const fixture = createFixture([createSilent(1), createSilent(2)], {stopRemainingMs: 90});
	const report = await fixture.forward({isResumable: true, objective: 100, attempts: 3});
	expect(fixture.calls.length).toBe(1);
	expect(report.result).toBe('served');
});

test('a request whose upstream is silent before its first event is answered by it if no other upstream may get it', async () => {
	const fixture = createFixture([{
		status: 200, headers: bufferedHeaders, chunks: ['', 'whole'], silentMs: 1600,
	}, {fails: 'broken'}]);
	const pending = fixture.forward({kind: 'idempotent', objective: 100, attempts: 3});
	const [{address}] = fixture.calls as [UpstreamCall];
	for (const id of ['u1', 'u2', 'u3'].filter(id => id !== address)) {
		fixture.directory.put({...fixture.directory.get(id)!, isDraining: true}, 1);
	}

	const report = await pending;
	expect([report.result, fixture.received.body]).toEqual(['served', 'whole']);
});

test('a stream that was given up waits for an upstream if none takes it any more, as long as one may answer in time', async () => {
	// Guards against a stream that is cut because others took the last place at the upstream to which it was to go.
	const stalled: UpstreamResponse = {...firstHalf, isReset: false, hangs: true};
	const fixture = createFixture([stalled, {fails: 'unsent'}, {fails: 'unsent'}, secondHalf]);
	const report = await fixture.forward({isResumable: true, objective: 100, attempts: 2});
	expect([report.result, report.events, report.sends]).toEqual(['served', 2, 2]);
	expect(countLeft(fixture.retries)).toBe(9);

	const unanswered = createFixture([stalled, ...Array.from({length: 99}, () => ({fails: 'unsent'} as const))]);
	const startedAt = performance.now();
	expect(await unanswered.forward({isResumable: true, objective: 400, attempts: 2}, 2200)).toMatchObject({result: 'cut', sends: 1});
	expect(performance.now() - startedAt).toBeGreaterThan(1600);
	expect(countLeft(unanswered.retries)).toBe(10);
});

test('a request that waits for an upstream connects again to one that refused only after a second', async () => {
	// Guards against ten new connections a second from each waiting request to upstreams that are gone.
	const fixture = createFixture([{...firstHalf, isReset: false, hangs: true}, ...Array.from({length: 99}, () => ({fails: 'unsent'} as const))]);
	expect(await fixture.forward({isResumable: true, objective: 100, attempts: 2}, 3000)).toMatchObject({result: 'cut', sends: 1});
	expect(fixture.calls.length).toBeGreaterThan(3);
	expect(fixture.calls.length).toBeLessThanOrEqual(5);
});

test('a request that waits for an upstream tries one again at once from which it was withheld', async () => {
	// Guards against streams that wait longer than it takes until their upstream has a place again.
	let sends = 0;
	const fixture = createFixture([{...firstHalf, isReset: false, hangs: true}, secondHalf, secondHalf, secondHalf], {
		admitsSend() {
			sends += 1;
			return sends === 1 || sends > 3;
		},
	});
	const startedAt = performance.now();
	expect(await fixture.forward({isResumable: true, objective: 100, attempts: 2})).toMatchObject({result: 'served', sends: 2});
	expect(performance.now() - startedAt).toBeLessThan(2000);
});

test('a stream that was given up goes on although other upstreams reject it first', async () => {
	// Guards against a stream that is cut because the upstream for which its call was given up had no room: it did not run there.
	const rejection: UpstreamResponse = {status: 503, headers: {'not-run': '1'}, chunks: []};
	const stalled: UpstreamResponse = {...firstHalf, isReset: false, hangs: true};
	const fixture = createFixture([stalled, rejection, secondHalf]);
	expect(await fixture.forward({isResumable: true, objective: 100, attempts: 2})).toMatchObject({result: 'served', events: 2});
	expect(countLeft(fixture.retries)).toBe(8);

	const waiting = createFixture([stalled, rejection, secondHalf]);
	while (countLeft(waiting.retries) > 0) {
		// Exhausts the retry budget.
	}

	for (let count = 0; count < 5; count += 1) {
		waiting.retries.deposit();
	}

	const pending = waiting.forward({isResumable: true, objective: 100, attempts: 2});
	await wait(1700);
	expect(waiting.calls.length).toBe(2);
	for (let count = 0; count < 5; count += 1) {
		waiting.retries.deposit();
	}

	expect(await pending).toMatchObject({result: 'served', events: 2});
});

test.each([
	['a request that is not idempotent', {kind: 'once'}],
	['a stream that may not be resumed', {kind: 'stream', isResumable: false}],
] as const)('%s is not given up while its upstream is silent, also before its first event', async (_, route) => {
	const fixture = createFixture([{
		status: 200, headers: route.kind === 'stream' ? streamHeaders : bufferedHeaders, chunks: ['', 'id: 1\ndata: a\n\n'], silentMs: 1600,
	}, secondHalf]);
	const report = await fixture.forward({...route, objective: 100, attempts: 3});
	expect(fixture.calls.length).toBe(1);
	expect(report.result).toBe('served');
});

test('attempts and the retry budget limit how often a request is sent', async () => {
	const fixture = createFixture(Array.from({length: 9}, () => ({status: 500, chunks: ['x']})));
	await fixture.forward({kind: 'idempotent', attempts: 2});
	expect(fixture.calls.length).toBe(2);
	while (fixture.retries.tryWithdraw()) {
		// Exhausts the retry budget.
	}

	await fixture.forward({kind: 'idempotent', attempts: 2});
	expect(fixture.calls.length).toBe(3);
});

test('a request that may have run is reported with an unknown outcome at the deadline', async () => {
	const fixture = createFixture([{status: 200, chunks: [], hangs: true}]);
	await fixture.forward({kind: 'once'}, 60);
	expect(fixture.received.refused).toEqual(createFailure('deadline-passed', fixture.received.refused!.detail, {ran: 'unknown'}));
});

test('a request that waits for a connection may be sent until its upstream drains', async () => {
	const fixture = createFixture([{status: 200, chunks: ['ok']}]);
	await fixture.forward({kind: 'idempotent'});
	const [call] = fixture.calls;
	expect(call!.shouldStillSend()).toBe(true);
	fixture.directory.put({...fixture.directory.get(call!.address)!, isDraining: true}, 1);
	expect(call!.shouldStillSend()).toBe(false);
});

test('a request whose connection opens after its deadline is not written, also before its timer has run', async () => {
	// Guards against upstreams that run requests whose callers have left, at a gateway whose timers are late.
	const {forward, calls} = createFixture([{fails: 'unsent'}]);
	await forward({kind: 'idempotent', attempts: 1}, 20);
	const until = performance.now() + 20;
	while (performance.now() < until) {
		// Keeps the event loop from running timers.
	}

	expect(calls[0]!.shouldStillSend()).toBe(false);
});

// Guards against a single request that crashes one upstream with each of its attempts.
test('a request under which two upstreams crashed is not sent to a third', async () => {
	const fixture = createFixture([{fails: 'broken'}, {fails: 'broken'}, {status: 200, chunks: ['ok']}]);
	fixture.crashed.add('u1').add('u2').add('u3');
	await fixture.forward({kind: 'idempotent', attempts: 3});
	expect(fixture.calls.length).toBe(2);
	expect(fixture.received.refused?.type).toBe('outcome-unknown');
	expect(fixture.quarantine.listAll()).toMatchObject([{digest: 'd1', crashes: 2}]);
});

// Guards against suspecting requests whose connections are reset by a network device.
test('a request that loses its connection to a running upstream is retried and not suspected', async () => {
	const fixture = createFixture([{fails: 'broken'}, {fails: 'broken'}, {status: 200, chunks: ['ok']}]);
	await fixture.forward({kind: 'idempotent', attempts: 3});
	expect(fixture.received.body).toBe('ok');
	expect(fixture.quarantine.listAll()).toEqual([]);
});

test('an answer after a crash clears the suspicion of the request', async () => {
	const fixture = createFixture([{fails: 'broken'}, {status: 200, headers: {...bufferedHeaders, 'content-length': '2'}, chunks: ['ok']}]);
	fixture.crashed.add('u1').add('u2').add('u3');
	await fixture.forward({kind: 'idempotent'});
	expect(fixture.quarantine.listAll()).toMatchObject([{digest: 'd1', crashes: 0}]);
	expect(fixture.received.body).toBe('ok');
});

// Guards against taking the end of a crashed upstream's connection for the end of an answer that shows its parts to be sound.
test('an answer that ended with the connection of a crashed upstream counts as a crash', async () => {
	const parts = [{id: 'bad', digest: 'p1'}];
	for (const headers of [streamHeaders, {...streamHeaders, 'content-length': '20'}]) {
		const fixture = createFixture([{status: 200, headers, chunks: ['id: 1\ndata: x\n\n']}]);
		fixture.crashed.add('u1').add('u2').add('u3');
		await fixture.forward({kind: 'stream'}, 5000, {parts});
		const isDelimitedByClose = headers === streamHeaders;
		expect(fixture.quarantine.listAll()).toMatchObject(isDelimitedByClose ? [{digest: 'd1', crashes: 1}] : []);
		expect(fixture.partQuarantine.listAll()).toMatchObject(isDelimitedByClose ? [{digest: 'p1', crashes: [{}]}] : []);
	}
});

// Guards against holding sound requests at all gateways because an earlier process of an upstream crashed.
test.each([
	['a reset', {fails: 'broken'}, 1],
	['a whole answer that ends with its connection', {status: 200, headers: streamHeaders, chunks: ['id: 1\ndata: x\n\n']}, 0],
] as const)('after a crash, %s is no crash at a later start under the same ID', async (_, response, crashes) => {
	const parts = [{id: 'sound', digest: 'p1'}];
	for (const startedAt of [1000, undefined]) {
		const fixture = createFixture([{fails: 'broken'}, response]);
		const {directory, crashed, quarantine, partQuarantine} = fixture;
		for (const id of ['u2', 'u3']) {
			directory.drop(id);
		}

		directory.put({...directory.get('u1')!, startedAt}, 1);
		crashed.add('u1');
		await fixture.forward({kind: 'stream', attempts: 1}, 5000, {parts});
		expect(quarantine.listAll()).toMatchObject([{digest: 'd1', crashes: 1}]);
		const partCrashes = partQuarantine.listAll().flatMap(part => part.crashes);

		crashed.clear();
		directory.put({...directory.get('u1')!, startedAt: startedAt && startedAt + 1000}, 2);
		await fixture.forward({kind: 'stream', attempts: 1}, 5000, {parts});
		expect(fixture.calls).toHaveLength(2);
		expect(quarantine.listAll()).toMatchObject([{digest: 'd1', crashes}]);
		expect(partQuarantine.listAll().flatMap(part => part.crashes)).toHaveLength(crashes * partCrashes.length);
	}
});

// Guards against a request that waits for a connection while one of its parts is held back.
test('a request with a held part is neither sent nor written, and is refused as not run', async () => {
	const parts = [{id: 'bad', digest: 'p1'}];
	const fixture = createFixture([{fails: 'unsent'}]);
	const hold = () => {
		fixture.partQuarantine.merge({
			digest: 'p1', round: 0, trials: 0, crashes: [1, 2, 3, 4, 5].map(upstream => ({upstream, ageMs: upstream * 1000})),
		}, 'peer');
	};

	const pending = fixture.forward({kind: 'idempotent'}, 5000, {parts});
	hold();
	expect(fixture.calls[0]!.shouldStillSend()).toBe(false);
	await pending;
	expect(fixture.calls).toHaveLength(1);
	expect(fixture.received.refused).toMatchObject({type: 'prompt-quarantined', ran: 'no'});
	await fixture.forward({kind: 'idempotent'}, 5000, {parts});
	expect(fixture.calls).toHaveLength(1);
});

// Guards against suspecting requests that ended because of their deadline or an unresponsive upstream.
test('a request that is aborted by the gateway is not suspected', async () => {
	const response = {
		status: 200, headers: streamHeaders, chunks: [], hangs: true,
	};
	const fixture = createFixture([response]);
	fixture.crashed.add('u1').add('u2').add('u3');
	await fixture.forward({kind: 'stream'}, 100);
	expect(fixture.calls.length).toBe(1);
	expect(fixture.quarantine.listAll()).toEqual([]);
});

test('an exception while a stream is passed on ends its call, is reported, and is not taken for a lost connection', async () => {
	// Guards against an engine that is suspected of a crash, and goes on running a request, because of an error of the gateway.
	const fixture = createFixture([{status: 200, headers: streamHeaders, chunks: ['id: 1\ndata: a\n\n']}], {
		onRecord() {
			throw new TypeError('The record is broken');
		},
	});
	const report = await fixture.forward({isResumable: true, attempts: 1});
	expect(report.reason).toContain('Unexpected error');
	expect([fixture.written.includes('requestFailed'), fixture.abandoned.length]).toEqual([true, 1]);
});

test('an upstream whose answer may be of another start is not avoided', async () => {
	// Guards against a sound upstream that gets no requests for seconds because one stream could not go on there.
	const second: UpstreamResponse = {status: 200, headers: streamHeaders, chunks: ['id: 2\ndata: b\n\n']};
	const fixture = createFixture([second, second], {versions: {u1: 'v1'}, startChecker: {isOfVersion: async () => false}});
	const resumed = {resumes: 'r0', lastEventId: '1', origin: {service: 's', softwareVersion: 'v1'}};
	expect(await fixture.forward({isResumable: true, attempts: 1}, 5000, resumed)).toMatchObject({result: 'failed', upstream: 'u1'});
	expect(fixture.unresponsive).toEqual([]);
});
