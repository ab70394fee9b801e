import {expect, test} from 'vitest';
import {createPartCrashRegistry} from '../../state/mod.js';
import {
	computeStartKey, createPartQuarantine, listPartKeys, type PartKey,
} from '../mod.js';

const generation = {model: 'm', promptTokens: 30, maxOutputTokens: 8};
const listParts = (...ids: string[]) => listPartKeys('s', {...generation, parts: ids.map(id => ({id, tokens: 10}))});
const badParts = listParts('common', 'bad', 'own');
const soundParts = listParts('common', 'other', 'own');
const badDigest = badParts[1]!.digest;
/** Delay of the first trial. */
const firstTrialMs = 30_000;

/** Creates the quarantine of a gateway that has seen answers to other parts, unless it has just started. */
function createFixture({canClaim = true, hasJustStarted = false} = {}) {
	const state = {
		now: 0, isLogHanging: false, changes: 0, claims: [] as string[], written: [] as string[], logged: [] as Array<Record<string, unknown> | undefined>,
	};
	const quarantine = createPartQuarantine({
		registry: createPartCrashRegistry(),
		clock: {
			now: () => state.now,
			// Timeouts expire only while the log does not answer.
			sleep: async () => state.isLogHanging ? undefined : new Promise(() => undefined), // eslint-disable-line no-promise-executor-return
		},
		events: {
			write(_event, fields) {
				state.logged.push(fields);
			},
			counts: new Map(),
		},
		onChange() {
			state.changes += 1;
		},
		onCrash(digest) {
			state.written.push(digest);
		},
		async claimTrial(digest) {
			state.claims.push(digest);
			return state.isLogHanging ? new Promise(() => undefined) : canClaim; // eslint-disable-line no-promise-executor-return
		},
	});
	let start = 0;
	if (!hasJustStarted) {
		quarantine.mergeRead(Array.from({length: 20}, (_, index) => `read-${index}`));
	}

	function crash(parts: readonly PartKey[], count: number): void {
		for (let index = 0; index < count; index += 1) {
			start += 1;
			state.now += 1000;
			quarantine.trackRun(parts).recordCrash({id: `u${start}`, start}, 'r1');
		}
	}

	const answer = (parts: readonly PartKey[]) => {
		quarantine.trackRun(parts).recordAnswer();
	};

	return {
		state, quarantine, crash, answer,
	};
}

test('requests with a part that crashes upstreams are refused, others are not', () => {
	const {quarantine, crash, answer} = createFixture();
	answer(soundParts);
	crash(badParts, 3);
	const refused = quarantine.admit(listParts('x', 'bad', 'another'));
	expect(refused.err && refused.val).toMatchObject({type: 'prompt-quarantined', ran: 'no', retryAfterMs: firstTrialMs});
	expect(refused.err && refused.val.detail).toContain('"bad"');
	expect(quarantine.admit(soundParts).ok).toBe(true);
	expect(quarantine.admitSend(badParts)).toBe(false);
});

// Guards against holding back a part because of the crashes that a caller who varies it can cause.
test('the last part of a prompt is never to blame', () => {
	const {quarantine, crash} = createFixture();
	crash(listParts('own'), 5);
	expect(quarantine.countBlamed()).toBe(0);
	crash(listParts('own', 'own', 'bad'), 3);
	expect(quarantine.admit(listParts('bad')).ok).toBe(true);
	expect(quarantine.admit(listParts('bad', 'own')).ok).toBe(true);
	expect(quarantine.admit(listParts('own', 'x')).ok).toBe(false);
});

test('a request may have no part, the same part twice or two hundred parts', () => {
	const {quarantine, crash} = createFixture();
	expect(listPartKeys('s', undefined)).toEqual([]);
	expect(listParts('a', 'a', 'a')).toHaveLength(1);
	const many = listParts(...Array.from({length: 200}, (_, index) => `p${index}`));
	expect(many).toHaveLength(199);
	crash(many, 3);
	expect(quarantine.admit(many).ok).toBe(false);
	crash(listParts('p150', 'own'), 1);
	expect(quarantine.admit(listParts('p150', 'own')).ok).toBe(false);
	expect(quarantine.admit(listParts('p151', 'own')).ok).toBe(true);
});

test('the same part of another model or service is not held back', () => {
	const {quarantine, crash} = createFixture();
	crash(listParts('bad', 'own'), 3);
	const parts = [{id: 'bad', tokens: 10}, {id: 'own', tokens: 10}];
	expect(quarantine.admit(listPartKeys('s', {...generation, model: 'other', parts})).ok).toBe(true);
	expect(quarantine.admit(listPartKeys('other', {...generation, parts})).ok).toBe(true);
});

// Guards against crashes at one upstream that starts again under its ID and would count once.
test('two starts of an upstream under one ID are distinguished', () => {
	expect(computeStartKey({id: 'u1', startedAt: 1})).not.toBe(computeStartKey({id: 'u1', startedAt: 2}));
	expect(computeStartKey({id: 'u1'})).toBe(computeStartKey({id: 'u1', startedAt: undefined}));
});

// Guards against each crashing request ending a second upstream by its own retry.
test('a request is not retried if a part is to blame, or may be and the answer had not begun', () => {
	const {quarantine, crash, answer} = createFixture();
	answer(soundParts);
	crash(badParts, 1);
	expect(quarantine.mayRetry(badParts, {hasBegun: false})).toBe(false);
	expect(quarantine.mayRetry(badParts, {hasBegun: true})).toBe(true);
	expect(quarantine.mayRetry(soundParts, {hasBegun: false})).toBe(true);
	crash(badParts, 1);
	expect(quarantine.mayRetry(badParts, {hasBegun: true})).toBe(false);
	expect([quarantine.isSuspected(badParts), quarantine.isSuspected(soundParts)]).toEqual([true, false]);
});

// Guards against refusing nearly all requests after a restart of all gateways, when crashes come before the first answers.
test('a gateway that has just started holds a part back after five crashes, and after three once it has seen answers', () => {
	const {quarantine, crash} = createFixture({hasJustStarted: true});
	crash(listParts('bad', 'own'), 4);
	expect(quarantine.admit(badParts).ok).toBe(true);
	expect(quarantine.mayRetry(soundParts, {hasBegun: false})).toBe(true);
	quarantine.mergeRead(Array.from({length: 20}, (_, index) => `read-${index}`));
	expect(quarantine.admit(badParts).ok).toBe(false);
	const other = createFixture({hasJustStarted: true});
	other.crash(listParts('bad', 'own'), 5);
	expect(other.quarantine.admit(badParts).ok).toBe(false);
});

// Guards against blaming a part whose answers are long and still under way.
test('an answer that goes on for half a second makes its parts unlikely to be the cause, and does not free them', () => {
	const {state, quarantine, crash} = createFixture();
	const run = quarantine.trackRun(listParts('long', 'own'));
	run.recordProgress();
	state.now += 499;
	run.recordProgress();
	expect(quarantine.listRead()).not.toContain(listParts('long', 'own')[0]!.digest);
	state.now += 1;
	run.recordProgress();
	expect(quarantine.listRead()).toContain(listParts('long', 'own')[0]!.digest);
	crash(listParts('long', 'own'), 7);
	expect(quarantine.admit(listParts('long', 'own')).ok).toBe(true);
	crash(listParts('long', 'own'), 1);
	expect(quarantine.admit(listParts('long', 'own')).ok).toBe(false);
});

// Guards against refusing all requests for half a minute because of a part that all of them have.
test('the first trial comes after three seconds if nothing else is admitted', async () => {
	const {state, quarantine, crash} = createFixture();
	crash(listParts('common', 'own'), 3);
	state.now += 3000;
	expect(await quarantine.tryTrial(soundParts)).toBe(false);
	for (let index = 0; index < 20; index += 1) {
		expect(quarantine.admit(soundParts).ok).toBe(false);
	}

	expect(await quarantine.tryTrial(soundParts)).toBe(true);
});

test('a request with another part that has crashed upstreams is no trial', async () => {
	const {state, quarantine, crash} = createFixture();
	crash(listParts('bad', 'own'), 3);
	crash(listParts('other', 'own'), 1);
	state.now += firstTrialMs;
	expect(await quarantine.tryTrial(listParts('bad', 'other', 'own'))).toBe(false);
	expect(await quarantine.tryTrial(listParts('bad', 'own'))).toBe(true);
});

// Guards against refusing a sound part for good, and against one more crash for each gateway that tries it.
test('a held part is tried once when its trial is due, and comes free if it is answered', async () => {
	const {state, quarantine, crash, answer} = createFixture();
	answer(soundParts);
	crash(badParts, 3);
	answer(soundParts);
	expect(await quarantine.tryTrial(badParts)).toBe(false);
	state.now += firstTrialMs;
	const tried = await Promise.all([quarantine.tryTrial(badParts), quarantine.tryTrial(badParts)]);
	expect(tried).toEqual([true, false]);
	expect(state.claims).toEqual([badDigest]);
	expect([quarantine.admitSend(badParts), quarantine.admitSend(badParts)]).toEqual([true, false]);
	answer(badParts);
	expect(quarantine.admit(badParts).ok).toBe(true);
});

test('a trial that another gateway has claimed is not begun', async () => {
	const {state, quarantine, crash} = createFixture({canClaim: false});
	crash(badParts, 3);
	state.now += 2 * firstTrialMs;
	expect(await quarantine.tryTrial(badParts)).toBe(false);
	expect(quarantine.admitSend(badParts)).toBe(false);
});

// Guards against holding a request past its time limit because the log does not answer the claim.
test('a claim that the log does not answer refuses the request', async () => {
	const {state, quarantine, crash} = createFixture();
	crash(listParts('bad', 'own'), 3);
	state.now += firstTrialMs;
	state.isLogHanging = true;
	expect(await quarantine.tryTrial(listParts('bad', 'own'))).toBe(false);
	expect(await quarantine.tryTrial(listParts('bad', 'own'))).toBe(false);
	expect(state.claims).toHaveLength(1);
});

// Guards against a trial that is begun without a claim of its own, with one that was left from an earlier hold.
test('a claimed trial that was not begun ends with the hold', async () => {
	const {state, quarantine, crash, answer} = createFixture();
	const parts = listParts('bad', 'own');
	crash(parts, 3);
	state.now += firstTrialMs;
	expect(await quarantine.tryTrial(parts)).toBe(true);
	answer(parts);
	crash(parts, 9);
	expect(quarantine.admit(parts).ok).toBe(false);
	expect(quarantine.admitSend(parts)).toBe(false);
});

test('trials are at least thirty seconds, ten minutes and a day apart', () => {
	const {state, quarantine, crash, answer} = createFixture();
	answer(soundParts);
	crash(badParts, 3);
	const trialsMs: number[] = [];
	for (const trials of [1, 2, 3]) {
		trialsMs.push(quarantine.listHeld()[0]!.trialMs);
		state.now += 1000;
		quarantine.merge({
			digest: badDigest, round: 0, trials, crashes: [],
		}, 'log');
	}

	expect([...trialsMs, quarantine.listHeld()[0]!.trialMs]).toEqual([30_000, 600_000, 86_400_000, 86_400_000]);
});

test('a request with several held parts is tried after twice the delay', async () => {
	const {state, quarantine, crash} = createFixture();
	crash(listParts('bad', 'beside', 'own'), 3);
	state.now += firstTrialMs;
	expect(await quarantine.tryTrial(listParts('bad', 'beside', 'own'))).toBe(false);
	expect(quarantine.admit(listParts('beside', 'own')).ok).toBe(true);
	state.now += firstTrialMs;
	expect(await quarantine.tryTrial(listParts('bad', 'beside', 'own'))).toBe(true);
});

test('a crash is written to the log from the second one on, and only for the part to blame', () => {
	const {state, crash, answer} = createFixture();
	answer(soundParts);
	crash(badParts, 1);
	expect(state.written).toEqual([]);
	crash(badParts, 1);
	expect(state.written).toEqual([badDigest]);
});

test('changes of the level are logged with the part, the request and the upstream', () => {
	const {state, crash, answer} = createFixture();
	answer(soundParts);
	crash(badParts, 3);
	expect(state.logged).toMatchObject([
		{
			part: 'bad', level: 'suspected', crashes: 2, cause: 'crash', request: 'r1', upstream: 'u2',
		},
		{
			part: 'bad', level: 'held', crashes: 3, cause: 'crash', request: 'r1', upstream: 'u3',
		},
	]);
});

// Guards against a part whose record does not reach other gateways because many sound parts have records too.
test('at most twelve records are advertised at a time, those that may be the cause first, and the others in turn', () => {
	const {quarantine, crash, answer} = createFixture();
	const beside = listParts(...Array.from({length: 40}, (_, index) => `p${index}`), 'own');
	answer(beside);
	crash([...beside, ...badParts], 1);
	const first = quarantine.listRecent();
	expect(first).toHaveLength(12);
	expect(first.map(({digest}) => digest)).toContain(badDigest);
	const second = quarantine.listRecent();
	expect(second.filter(({digest}) => first.some(record => record.digest === digest)).length).toBeLessThan(12);
	expect(second.map(({digest}) => digest)).toContain(badDigest);
});

test('gateways that exchange their records hold the same part back', () => {
	const gateways = [createFixture(), createFixture(), createFixture()];
	for (const [index, {quarantine}] of gateways.entries()) {
		quarantine.trackRun(badParts).recordCrash({id: `u${index}`, start: index}, 'r');
		for (const fixture of gateways) {
			fixture.state.now += 1000;
		}

		for (const {quarantine: other} of gateways) {
			for (const record of quarantine.listRecent()) {
				other.merge(record, 'peer');
			}
		}
	}

	expect(gateways.map(({quarantine}) => quarantine.admit(badParts).ok)).toEqual([false, false, false]);
});

// Guards against refusing nearly all requests because the first crashes come before the first answers.
test('parts that crashes do not distinguish are held back only together', () => {
	const {quarantine, crash, answer} = createFixture();
	crash(badParts, 3);
	expect(quarantine.admit(badParts).ok).toBe(false);
	expect(quarantine.admit(soundParts).ok).toBe(true);
	expect(quarantine.listHeld().map(({part, together}) => [part, together])).toEqual([['common', 1], ['bad', 1]]);
	answer(soundParts);
	expect(quarantine.listHeld().map(({part, together}) => [part, together])).toEqual([['bad', 0]]);
	expect(quarantine.admit(listParts('x', 'bad', 'own')).ok).toBe(false);
});

test('an operator releases a part', () => {
	const {quarantine, crash} = createFixture();
	crash(listParts('bad', 'own'), 3);
	const {digest} = quarantine.listHeld().find(({part}) => part === 'bad')!;
	expect(quarantine.release(digest)).toBe(true);
	expect(quarantine.release(digest)).toBe(false);
	expect(quarantine.listHeld()).toEqual([]);
});

// Guards against taking an operator's word for an answer, after which a part needs eight crashes to be held back.
test('a released part is held back again after three crashes', () => {
	const {quarantine, crash} = createFixture();
	crash(listParts('bad', 'own'), 3);
	quarantine.release(listParts('bad', 'own')[0]!.digest);
	crash(listParts('bad', 'own'), 3);
	expect(quarantine.admit(badParts).ok).toBe(false);
});
