import fc from 'fast-check';
import {expect, test} from 'vitest';
import {createVirtualTime} from '../../../tools/measure/virtual-clock.js';
import {createUpstreamDirectory, createUpstreamStarts, type StreamOrigin} from '../../state/mod.js';
import {createStartChecker, type ReportedStart} from './mod.js';

// What a gateway believes of one upstream that starts again under its ID and address.

const origin: StreamOrigin = {service: 's', softwareVersion: 'v1', start: {id: 'u1', startedAt: 1000}};
const registered = {
	id: 'u1', service: 's', address: 'a:1', failureDomain: 'd', slots: 4, isDraining: false, warmUp: 0, softwareVersion: 'v1', startedAt: 1000,
};
const restarted = {...registered, startedAt: 2000};

type FixtureOptions = {
	readonly reported?: ReportedStart;
	readonly canRead?: boolean;
	readonly hasFollowed?: boolean;
	/** Called when the registrations are read. */
	readonly onRead?: (fixture: {readonly directory: ReturnType<typeof createUpstreamDirectory>}) => void;
	/** Called after each pause. */
	readonly onSleep?: (fixture: {readonly starts: ReturnType<typeof createUpstreamStarts>; readonly state: {readonly now: number}}) => void;
};

function createFixture({reported = {kind: 'unanswered'}, canRead = false, hasFollowed = true, onRead, onSleep}: FixtureOptions = {}) {
	const state = {now: 100, reports: 0, differences: 0};
	const starts = createUpstreamStarts();
	const directory = createUpstreamDirectory();
	directory.put(registered, 0);
	const checker = createStartChecker({
		starts, directory,
		async fetchStart() {
			state.reports += 1;
			await Promise.resolve();
			return reported;
		},
		async readViews() {
			onRead?.({directory});
			return canRead;
		},
		hasFollowedSince: () => hasFollowed,
		clock: {
			now: () => state.now,
			async sleep(delayMs) {
				state.now += delayMs;
				onSleep?.({starts, state});
			},
		},
		events: {
			write() {
				state.differences += 1;
			},
		},
	});
	return {
		checker, starts, directory, state,
		isOfVersion: async (sentAt = 90) => checker.isOfVersion({registered, sentAt, origin}),
		async findVersion(begunAt = 90): Promise<string | undefined> {
			const {origin: checked} = await checker.checkOrigin(origin, begunAt);
			return checked.softwareVersion;
		},
	};
}

test('an answer continues a stream if the registered start is reported after the request was written', async () => {
	const {isOfVersion, state} = createFixture({reported: {kind: 'read', startedAt: 1000}});
	expect(await Promise.all([isOfVersion(), isOfVersion(), isOfVersion()])).toEqual([true, true, true]);
	expect(await isOfVersion(95)).toBe(true);
	expect(state.reports).toBe(1);
	expect(await isOfVersion(101)).toBe(true);
	expect(state.reports).toBe(2);
});

test('an answer of a later start continues no stream, and the registration is no longer believed', async () => {
	// Guards against events of two versions between the start of an engine and the read of its registration.
	const {isOfVersion, starts, state} = createFixture({reported: {kind: 'read', startedAt: 2000}});
	expect(await isOfVersion()).toBe(false);
	expect(await isOfVersion()).toBe(false);
	expect(starts.mayMatch(registered)).toBe(false);
	expect(starts.mayMatch(restarted)).toBe(true);
	expect(state.differences).toBe(1);
});

test('an answer of a later start that has registered the same version continues the stream', async () => {
	// Guards against cut streams while engines crash and come back with the software that they had.
	const {isOfVersion, directory} = createFixture({reported: {kind: 'read', startedAt: 2000}});
	directory.put(restarted, 1);
	expect(await isOfVersion()).toBe(true);
});

test('an answer continues no stream if a start in between has registered another version', async () => {
	// Guards against a release that is taken back: the start in between may have answered.
	const {isOfVersion, directory, starts} = createFixture({reported: {kind: 'read', startedAt: 3000}});
	starts.recordVersion({id: 'u1', startedAt: 2000}, 'v2');
	directory.put({...registered, startedAt: 3000}, 1);
	expect(await isOfVersion()).toBe(false);
});

test('an answer of an upstream that does not report in time continues no stream', async () => {
	const {isOfVersion} = createFixture();
	expect(await isOfVersion()).toBe(false);
});

test('a lost connection is settled by a report before a stream goes on at that upstream', async () => {
	// Guards against all streams of a crashed engine that go on at another one which started again, and lose their last attempt there.
	const settle = async (options: FixtureOptions): Promise<boolean> => {
		const {checker} = createFixture(options);
		expect(await checker.settleDoubt(registered)).toBe(true);
		checker.recordLost('u1');
		return checker.settleDoubt(registered);
	};

	expect(await settle({reported: {kind: 'read', startedAt: 1000}})).toBe(true);
	expect(await settle({reported: {kind: 'read', startedAt: 2000}})).toBe(false);
	expect(await settle({reported: {kind: 'absent'}})).toBe(false);
	expect(await settle({reported: {kind: 'unanswered'}})).toBe(false);
});

test('an upstream without reports continues streams until a connection to it was lost, and again once it has registered since', async () => {
	// Guards against refusing every resume where engines offer no report, and against guessing after a crash.
	const {isOfVersion, checker, starts, state} = createFixture({reported: {kind: 'absent'}});
	expect(await isOfVersion()).toBe(true);
	checker.recordLost('u1');
	expect(await isOfVersion()).toBe(false);
	expect(starts.mayMatch(registered)).toBe(false);
	state.now = 300;
	starts.recordAlive(origin.start!, 200);
	expect(await isOfVersion()).toBe(true);
	expect(starts.mayMatch(registered)).toBe(true);
});

test('the version of a stream is certain without a report if its start has registered since', async () => {
	// Guards against probes for streams that begin and are resumed in calm times.
	const {findVersion, starts, state} = createFixture();
	starts.recordAlive(origin.start!, 95);
	expect(await findVersion()).toBe('v1');
	expect(state.reports).toBe(0);
});

test('the version of a stream is unknown if a start with another version may have begun it', async () => {
	// Guards against a stream that is recorded with the version of the earlier start.
	const {findVersion, directory, starts} = createFixture({reported: {kind: 'read', startedAt: 2000}, canRead: true});
	directory.put({...restarted, softwareVersion: 'v2'}, 1);
	expect(await findVersion()).toBe(undefined);
	starts.recordAlive(origin.start!, 95);
	expect(await findVersion()).toBe('v1');
});

test('the version of a stream is found by reading the store if its upstream has ended', async () => {
	// Guards against refusing the streams of an engine that has crashed for good.
	expect(await createFixture({canRead: true}).findVersion()).toBe('v1');
	expect(await createFixture({
		canRead: true,
		onRead({directory}) {
			directory.put({...restarted, softwareVersion: 'v2'}, 1);
		},
	}).findVersion()).toBe(undefined);
});

test('the version of a stream stays open if neither its upstream nor the store answers', async () => {
	const {checker} = createFixture();
	expect(await checker.checkOrigin(origin, 90)).toMatchObject({origin: {softwareVersion: undefined}, isUnread: true});
	const interrupted = createFixture({canRead: true, hasFollowed: false});
	expect(await interrupted.checker.checkOrigin(origin, 90)).toMatchObject({origin: {softwareVersion: undefined}, isUnread: true});
});

test('a stream without a start keeps its version', async () => {
	// Guards against refusals in a fleet whose engines do not name their starts.
	const {checker, state} = createFixture();
	const named = {service: 's', softwareVersion: 'v1'};
	expect(await checker.checkOrigin(named, 90)).toEqual({origin: named, isUnread: false});
	expect(state.reports).toBe(0);
});

type Life = {readonly from: number; readonly to: number; readonly version: string; readonly registeredAt: number};
type Outage = {readonly from: number; readonly to: number};

const readIntervalMs = 500;
const heartbeatMs = 1200;
const durationMs = 30_000;

const playArbitrary = fc.record({
	lives: fc.array(fc.record({downMs: fc.integer({min: 100, max: 3000}), upMs: fc.integer({min: 1000, max: 6000}), isRelease: fc.boolean()}), {minLength: 2, maxLength: 6}),
	outages: fc.array(fc.record({gapMs: fc.integer({min: 500, max: 6000}), ms: fc.integer({min: 100, max: 6000})}), {maxLength: 4}),
	reportMs: fc.integer({min: 0, max: 300}),
	streams: fc.array(fc.record({at: fc.integer({min: 0, max: durationMs}), answerMs: fc.integer({min: 1, max: 400}), resumedMs: fc.integer({min: 1, max: 5000})}), {minLength: 20, maxLength: 60}),
});

type Play = typeof playArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

function buildOutages({outages}: Play): Outage[] {
	let at = 0;
	return outages.map(({gapMs, ms}) => {
		const from = at + gapMs;
		at = from + ms;
		return {from, to: at};
	});
}

const findOutage = (outages: readonly Outage[], at: number) => outages.find(({from, to}) => at >= from && at < to);

// A process registers at its start, or once the store is back.
function buildLives({lives}: Play, outages: readonly Outage[]): Life[] {
	let at = -heartbeatMs;
	let release = 1;
	return lives.map(({downMs, upMs, isRelease}, index) => {
		const from = at + (index === 0 ? 0 : downMs);
		at = from + upMs;
		release += index > 0 && isRelease ? 1 : 0;
		return {
			from, to: at, version: `v${release}`, registeredAt: findOutage(outages, from)?.to ?? from,
		};
	});
}

async function simulate(play: Play): Promise<{wrong: number; accepted: number}> {
	const time = createVirtualTime();
	const outages = buildOutages(play);
	const lives = buildLives(play, outages);
	const findLife = (at: number) => lives.find(({from, to}) => at >= from && at < to);
	const written = lives.flatMap(({from, to, version, registeredAt}) => Array.from({length: Math.max(0, Math.ceil((to - registeredAt) / heartbeatMs))}, (_, index) => ({at: registeredAt + (index * heartbeatMs), startedAt: from + 100_000, version})))
		.filter(({at}) => !findOutage(outages, at));
	const starts = createUpstreamStarts();
	const directory = createUpstreamDirectory();
	let readUntil = Number.NEGATIVE_INFINITY;
	let followedSince = 0;
	const counts = {wrong: 0, accepted: 0};

	async function read(): Promise<boolean> {
		const at = time.now();
		if (findOutage(outages, at)) {
			followedSince = Number.POSITIVE_INFINITY;
			return false;
		}

		for (const {startedAt, version} of written.filter(record => record.at > readUntil && record.at <= at)) {
			directory.put({...registered, startedAt, softwareVersion: version}, at);
			starts.recordVersion({id: 'u1', startedAt}, version);
			starts.recordAlive({id: 'u1', startedAt}, readUntil);
		}

		followedSince = Math.min(followedSince, at);
		readUntil = Math.max(readUntil, at);
		return true;
	}

	const checker = createStartChecker({
		starts, directory, readViews: read, hasFollowedSince: since => followedSince <= since, clock: time, events: {write: () => undefined},
		async fetchStart() {
			await time.sleep(play.reportMs);
			const life = findLife(time.now());
			return life ? {kind: 'read', startedAt: life.from + 100_000} : {kind: 'unanswered'};
		},
	});

	async function runStream({at, answerMs, resumedMs}: Play['streams'][number]): Promise<void> {
		await time.sleep(at);
		const sentAt = time.now();
		const known = directory.get('u1');
		const life = findLife(sentAt);
		await time.sleep(answerMs);
		if (!known || !life || life !== findLife(time.now())) {
			return;
		}

		const recorded = {service: 's', softwareVersion: known.softwareVersion, start: {id: 'u1', startedAt: known.startedAt!}};
		const isOfVersion = await checker.isOfVersion({registered: known, sentAt, origin: recorded});
		await time.sleep(resumedMs);
		const {origin: {softwareVersion}} = await checker.checkOrigin(recorded, sentAt);
		counts.accepted += isOfVersion ? 1 : 0;
		counts.wrong += isOfVersion && life.version !== known.softwareVersion ? 1 : 0;
		counts.accepted += softwareVersion === undefined ? 0 : 1;
		counts.wrong += softwareVersion !== undefined && softwareVersion !== life.version ? 1 : 0;
	}

	async function follow(): Promise<void> {
		while (time.now() < durationMs + 10_000) {
			await read();
			await time.sleep(readIntervalMs);
		}
	}

	const pending = Promise.all([follow(), ...play.streams.map(async stream => runStream(stream))]);
	await time.runUntil(durationMs + 20_000);
	await pending;
	return counts;
}

test('no version is believed that another process had, however starts, outages of the store and streams fall', async () => {
	await fc.assert(fc.asyncProperty(playArbitrary, async play => {
		const {wrong} = await simulate(play);
		expect(wrong).toBe(0);
	}), {numRuns: 300});
}, 60_000);

test('no version is believed that a process had which started and ended during an outage of the store', async () => {
	// Guards against a stream that is taken for one of a registered later start of the same version.
	const {wrong} = await simulate({
		lives: [
			{downMs: 100, upMs: 1643, isRelease: false}, {downMs: 306, upMs: 4559, isRelease: false}, {downMs: 193, upMs: 1000, isRelease: false}, {downMs: 100, upMs: 1000, isRelease: true},
		],
		outages: [{gapMs: 5502, ms: 2099}], reportMs: 0, streams: [{at: 6894, answerMs: 130, resumedMs: 577}],
	});
	expect(wrong).toBe(0);
});

test('most streams are believed while no process starts again', async () => {
	const streams = Array.from({length: 40}, (_, index) => ({at: 1000 + (index * 50), answerMs: 10, resumedMs: 500}));
	const {accepted, wrong} = await simulate({
		lives: [{downMs: 100, upMs: 20_000, isRelease: false}, {downMs: 100, upMs: 1000, isRelease: false}], outages: [{gapMs: 500, ms: 4000}], reportMs: 5, streams,
	});
	expect({accepted, wrong}).toEqual({accepted: 80, wrong: 0});
});

test('a later start whose time looks earlier counts as later', async () => {
	// Guards against a version that a stream does not have: the clock of the upstream's host went back across a restart.
	const {findVersion, directory, starts} = createFixture({
		canRead: true,
		onRead() {
			directory.put({...registered, startedAt: 500, softwareVersion: 'v2'}, 1);
		},
	});
	expect(await findVersion()).toBe(undefined);
	const {starts: others} = createFixture();
	others.recordVersion({id: 'u1', startedAt: 500}, 'v2');
	expect(others.hasLaterVersion({id: 'u1', startedAt: 1000}, 'v1')).toBe(true);
	expect(starts.hasLaterVersion({id: 'u1', startedAt: 1000}, 'v1')).toBe(false);
});

test('a report that is not answered serves all that wait for it', async () => {
	// Guards against a stream that waits for two timeouts of the report, its own and that of the one before.
	const {isOfVersion, state} = createFixture();
	const early = isOfVersion(90);
	expect(await Promise.all([early, isOfVersion(110)])).toEqual([false, false]);
	expect(state.reports).toBe(1);
});

// Guards against streams that end because their next upstream does not answer the request for its report, though it runs.
test('an answer continues a stream if its upstream registers again after the request was written', async () => {
	const {isOfVersion} = createFixture({
		onSleep({starts, state}) {
			if (state.now >= 1200) {
				starts.recordAlive({id: 'u1', startedAt: 1000}, 1100);
			}
		},
	});
	expect(await isOfVersion()).toBe(true);
});

test('an answer of an upstream that neither reports nor registers again continues no stream', async () => {
	const {isOfVersion, state} = createFixture();
	expect(await isOfVersion()).toBe(false);
	expect(state.now).toBeLessThan(3000);
	expect(await createFixture({hasFollowed: false}).isOfVersion()).toBe(false);
});

// Guards against a running call that is given up for an upstream whose events nobody will believe.
test('an upstream can be confirmed if it answers with its report, and not while it does not answer', async () => {
	const offered = createFixture({reported: {kind: 'read', startedAt: 1000}});
	expect(offered.checker.canConfirm(registered)).toBe(undefined);
	await offered.checker.queryStart(registered);
	expect(offered.checker.canConfirm(registered)).toBe(true);
	const silent = createFixture();
	await silent.checker.queryStart(registered);
	expect(silent.checker.canConfirm(registered)).toBe(false);
	silent.state.now += 1000;
	expect(silent.checker.canConfirm(registered)).toBe(undefined);
	expect(silent.checker.canConfirm({...registered, startedAt: undefined})).toBe(true);
});
