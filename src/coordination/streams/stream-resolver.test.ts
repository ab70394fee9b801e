import {expect, test} from 'vitest';
import {
	Err, Ok, createFailure, type EventLog, type Failure, type Result, type Route,
} from '../../protocol/mod.js';
import {createValueHistory} from '../../state/mod.js';
import {
	createStreamRecorder, createStreamResolver, type StreamAnswer, type StreamAnnouncement,
} from '../mod.js';

const lifetimeMs = 1000;
const origin = {service: 's', softwareVersion: 'v1'};
const silence = Err(createFailure('no-upstream', 'No answer'));
const route: Route = {
	id: 'r', host: 'h', prefix: '/', kind: 'stream', timeout: 500, objective: 100, priority: 0, isOpen: true, attempts: 2, isResumable: true, targets: [{service: 's', weight: 1}],
};

type FixtureOptions = {
	readonly answers?: Readonly<Record<string, Result<StreamAnswer, Failure>>>;
	/** Called when the views are read; returns false if they cannot be. */
	readonly onRead?: () => boolean;
};

function createFixture({answers = {}, onRead = () => true}: FixtureOptions = {}) {
	const state = {now: 10_000, reads: 0, hasUpstream: true};
	const clock = {now: () => state.now, sleep: async () => undefined};
	const written: Array<{name: string; fields: Record<string, unknown>}> = [];
	const events: EventLog = {
		write(name, fields = {}) {
			written.push({name, fields});
		},
		counts: new Map(),
	};
	const announced: Array<StreamAnnouncement & {readonly receivers: readonly string[]}> = [];
	const queried: string[] = [];
	const listPeers = () => ['g2', 'g3', 'g4', 'g5', 'g6'].map(daemon => ({
		daemon, newsAddress: daemon, address: daemon, failureDomain: 'd',
	}));
	const recorder = createStreamRecorder({
		daemon: 'g1', listPeers, computeLifetimeMs: () => lifetimeMs, clock, events,
		announce(announcement, receivers) {
			announced.push({...announcement, receivers: receivers.map(({daemon}) => daemon)});
		},
	});
	const versionHistory = createValueHistory();
	const routeHistory = createValueHistory();
	const resolver = createStreamResolver({
		startChecker: {checkOrigin: async origin => ({origin, isUnread: false})},
		recorder, listPeers, versionHistory, routeHistory, formatRouteKey: ({host, prefix}) => host + prefix, hasUpstream: () => state.hasUpstream, computeLifetimeMs: () => lifetimeMs, clock, events,
		async queryPeer({daemon}) {
			queried.push(daemon);
			return answers[daemon] ?? Ok({record: undefined, only: undefined});
		},
		async readViews() {
			state.reads += 1;
			return onRead();
		},
	});
	const resolve = async (stream: string | undefined = 'a-1', changed: Partial<Route> = {}) => resolver.resolve({request: 'b-1', stream, route: {...route, ...changed}});
	return {
		resolver, recorder, versionHistory, routeHistory, state, written, announced, queried,
		resolve,
		async canResolve(stream = 'a-1', changed: Partial<Route> = {}): Promise<boolean> {
			const resolved = await resolve(stream, changed);
			return resolved.ok;
		},
	};
}

function observe({versionHistory, routeHistory}: ReturnType<typeof createFixture>, at: number): void {
	routeHistory.put('h/ s', {key: 'h/', value: 's'}, at);
	versionHistory.put('u1', {key: 's', value: 'v1'}, at);
}

test('two gateways are told of a stream, and are among the three that any other gateway asks', async () => {
	// Guards against a stream whose gateway and one witness fail.
	const {recorder, announced, queried, resolve} = createFixture();
	recorder.recordEvents('a-1', origin);
	expect(announced).toMatchObject([{
		stream: 'a-1', origin, lifetimeMs, source: 'g1',
	}]);
	await resolve('a-1');
	expect(queried).toEqual([]);
	await resolve('unknown');
	expect(queried.length).toBe(3);
	const {announced: others, recorder: other} = createFixture();
	other.recordEvents('unknown', origin);
	expect(queried).toEqual(expect.arrayContaining([...others[0]!.receivers]));
	expect(others[0]!.receivers.length).toBe(2);
});

test('the version is taken from a gateway that was told, whatever the others answer', async () => {
	const answers = {
		g2: silence, g3: silence, g4: silence, g5: silence, g6: silence,
	};
	for (const daemon of ['g2', 'g3', 'g4', 'g5', 'g6']) {
		const fixture = createFixture({answers: {...answers, [daemon]: Ok({record: {origin, ageMs: 7}, only: undefined})}});
		const resolved = await fixture.resolve();
		expect(resolved.ok).toBe(fixture.queried.includes(daemon));
		if (resolved.ok) {
			expect(resolved.val).toEqual(origin);
			expect(fixture.written).toEqual([{
				name: 'streamOriginFound', fields: {
					request: 'b-1', resumes: 'a-1', ...origin, source: daemon, ageMs: 7,
				},
			}]);
		}
	}
});

test('an unknown version is not guessed, and the refusal says when it may be known', async () => {
	const missing = await createFixture().resolve();
	expect(missing.err && missing.val).toMatchObject({type: 'stream-unresumable', ran: 'no', retryAfterMs: 2 * lifetimeMs});
	const answers = {
		g2: silence, g3: silence, g4: silence, g5: silence, g6: silence,
	};
	const unanswered = await createFixture({answers}).resolve();
	expect(unanswered.err && unanswered.val).toMatchObject({type: 'stream-unresumable', ran: 'no', retryAfterMs: 1000});
	expect(unanswered.err && unanswered.val.detail).toContain('no answer from');
});

test('a service with one version for as long as a stream can have lasted needs no record', async () => {
	const fixture = createFixture();
	observe(fixture, 8001);
	const tooEarly = await fixture.resolve();
	expect(tooEarly.err && tooEarly.val.retryAfterMs).toBe(1000);
	fixture.state.now = 10_001;
	const resolved = await fixture.resolve();
	expect(resolved.ok && resolved.val).toEqual(origin);
	const unnamed = await fixture.resolve(undefined);
	expect(unnamed.ok && unnamed.val).toEqual(origin);
	expect(fixture.state.reads).toBe(2);
});

test('a gateway that has just started relies on one that has seen a single version until after that start', async () => {
	// Guards against refusing every stream for which there is no record after a restart.
	const all = (only: StreamAnswer['only']) => Object.fromEntries(['g2', 'g3', 'g4', 'g5', 'g6'].map(daemon => [daemon, Ok({record: undefined, only})]));
	const cases = [
		[{origin, sinceAgeMs: 2000, viewAgeMs: 100}, true],
		[{origin, sinceAgeMs: 1999, viewAgeMs: 100}, false],
		[{origin, sinceAgeMs: 5000, viewAgeMs: 101}, false],
		[{origin: {...origin, softwareVersion: 'v2'}, sinceAgeMs: 5000, viewAgeMs: 0}, false],
		[undefined, false],
	] as const;
	for (const [only, isKnown] of cases) {
		const fixture = createFixture({answers: all(only)});
		observe(fixture, 9900);
		expect(await fixture.canResolve()).toBe(isKnown);
	}
});

test('a version that appears only in a new read of the registrations is not overlooked', async () => {
	// Guards against a view that is older than the stream: another gateway may have begun it at a new version.
	const fixture = createFixture({
		onRead() {
			fixture.versionHistory.put('u2', {key: 's', value: 'v2'}, 10_000);
			return true;
		},
	});
	observe(fixture, 0);
	expect(await fixture.canResolve()).toBe(false);
});

test('a service is not taken for one with a single version while the store does not answer', async () => {
	const fixture = createFixture({onRead: () => false});
	observe(fixture, 0);
	const resolved = await fixture.resolve();
	expect(resolved.err && resolved.val).toMatchObject({type: 'stream-unresumable', retryAfterMs: 1000});
});

test('a stream does not go on at another service, even of the same version', async () => {
	const {recorder, canResolve} = createFixture();
	recorder.recordEvents('a-1', origin);
	expect(await canResolve('a-1', {targets: [{service: 'other', weight: 1}]})).toBe(false);
	expect(await canResolve('a-1', {targets: [{service: 'other', weight: 1}, {service: 's', weight: 0}]})).toBe(false);
	expect(await canResolve('a-1', {targets: [{service: 'other', weight: 9}, {service: 's', weight: 1}]})).toBe(true);
});

test('a stream whose version has no upstream left is refused before tokens are reserved for it', async () => {
	const {recorder, resolve, state} = createFixture();
	recorder.recordEvents('a-1', origin);
	state.hasUpstream = false;
	const resolved = await resolve();
	expect(resolved.err && resolved.val).toMatchObject({type: 'stream-unresumable', ran: 'no', retryAfterMs: 2000});
});

test('a stream whose own gateway did not know the version is refused without asking', async () => {
	const {recorder, canResolve, queried} = createFixture();
	recorder.recordEvents('a-1', {service: 's', softwareVersion: undefined});
	expect(await canResolve()).toBe(false);
	expect(queried).toEqual([]);
});
