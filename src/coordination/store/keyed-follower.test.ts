import {expect, test} from 'vitest';
import {createFakeKeyedLog} from '../../../tools/harness/fake-keyed-log.js';
import {createVirtualTime} from '../../../tools/measure/virtual-clock.js';
import {
	Err, Ok, createFailure, type EventLog, type KeyedLog,
} from '../../protocol/mod.js';
import {createKeyedFollower} from '../mod.js';

const events: EventLog = {write: () => undefined, counts: new Map()};
const longPollMs = 1500;
const readTimeoutMs = 600;
/** Duration of a call to the log. */
const callMs = 4;

type SilentLogOptions = {
	readonly silentFrom: number;
	readonly stallMs: number;
	/** Default: only the first timer is late. */
	readonly isAlwaysSlow?: boolean;
};

/** Follows a log that does not answer from `silentFrom` on, in a process whose timers are late by `stallMs` after that. */
async function followSilentLog({silentFrom, stallMs, isAlwaysSlow = false}: SilentLogOptions) {
	const time = createVirtualTime();
	const abortController = new AbortController();
	const {signal} = abortController;
	const log: KeyedLog = {
		name: 'log',
		readNewest: async () => Ok({records: [], end: 0}),
		async read() {
			if (time.now() < silentFrom) {
				await time.sleep(longPollMs);
				return Ok({records: [], end: 0});
			}

			await time.sleep(stallMs + longPollMs + readTimeoutMs + 100);
			return Err({kind: 'away', failure: createFailure('log-unavailable', 'The call timed out')});
		},
		append: async () => ({kind: 'refused', failure: createFailure('log-unavailable', 'Not used')}),
	};
	let hasStalled = false;
	const follower = createKeyedFollower({
		log, events, longPollMs, readTimeoutMs, readIntervalMs: 0, onRecord: () => undefined,
		clock: {
			now: time.now,
			async sleep(durationMs, sleepSignal) {
				const isStalling = (isAlwaysSlow || !hasStalled) && time.now() >= silentFrom;
				hasStalled ||= isStalling;
				await time.sleep(durationMs + (isStalling ? stallMs : 0), sleepSignal);
			},
		},
	});
	void follower.run(signal);
	return {
		time, follower, stop() {
			abortController.abort();
		},
	};
}

test('a log that does not answer in time is unavailable', async () => {
	const {time, follower, stop} = await followSilentLog({silentFrom: 1000, stallMs: 0});
	await time.runUntil(6000);
	expect(follower.isUp()).toBe(false);
	stop();
});

test('a log is not unavailable because this process was stalled while it waited for an answer', async () => {
	// Guards against a gateway that goes on with an old view after a stall because it takes the store for unavailable.
	const {time, follower, stop} = await followSilentLog({silentFrom: 1000, stallMs: 3000});
	await time.runUntil(1500 + longPollMs + readTimeoutMs + 3100);
	expect(follower.isUp()).toBe(true);
	stop();
});

test('a process that is always slow notices that a log does not answer', async () => {
	// Guards against an outage of the store that an overloaded gateway never notices.
	const {time, follower, stop} = await followSilentLog({silentFrom: 1000, stallMs: 1000, isAlwaysSlow: true});
	await time.runUntil(12_000);
	expect(follower.isUp()).toBe(false);
	stop();
});

/** Follows a log of five records that is about to be restored from a backup. */
async function followRestoredLog() {
	const time = createVirtualTime();
	const abortController = new AbortController();
	const {signal} = abortController;
	const fake = createFakeKeyedLog();
	fake.epoch = 1;
	let reads = 0;
	const direct = fake.open();
	const log: KeyedLog = {
		...direct,
		async readNewest() {
			reads += 1;
			await time.sleep(callMs);
			return direct.readNewest();
		},
		// Waits for a new record as the store does, but refuses at once an offset that it does not have.
		async read(from, options) {
			reads += 1;
			await time.sleep(callMs);
			const deadline = time.now() + options.waitMs;
			while (from === fake.records.length && time.now() < deadline) {
				await time.sleep(10);
			}

			return direct.read(from, options);
		},
	};
	const put = (key: string, value?: string) => {
		fake.records.push({key, value, offset: fake.records.length});
	};

	const values = new Map<string, string | undefined>();
	const follower = createKeyedFollower({
		log, events, clock: time, longPollMs, readTimeoutMs, readIntervalMs: 0,
		listKnownKeys: () => [...values.keys()],
		onRecord({key, value}) {
			values.set(key, value);
		},
	});
	for (const key of ['a', 'b', 'c', 'd', 'e']) {
		put(key, 'old');
	}

	void follower.run(signal);
	await time.runUntil(1000);
	return {
		time, fake, follower, values, put,
		countReads: () => reads,
		stop() {
			abortController.abort();
		},
	};
}

test('records of a restored log are delivered, also at offsets that were delivered before', async () => {
	// Guards against a follower that waits for offsets of a lost history.
	const {time, fake, values, put, stop} = await followRestoredLog();
	fake.restore(2);
	await time.runUntil(2000);
	put('a', 'new');
	await time.runUntil(4500);
	expect(values.get('a')).toBe('new');
	stop();
});

test('a key that a restored log lacks is dropped only if it is not written again', async () => {
	// Guards against dropping what its writers are about to write again.
	const {time, fake, values, put, stop} = await followRestoredLog();
	fake.restore(2);
	await time.runUntil(1500);
	put('d', 'again');
	expect(values.get('e')).toBe('old');
	await time.runUntil(6000);
	expect(values.get('d')).toBe('again');
	expect(values.get('e')).toBeUndefined();
	stop();
});

/** Returns how often a follower calls a log that has lost records, in the five seconds after that. */
async function countReadsAhead(epoch: number | undefined): Promise<number> {
	const {time, fake, countReads, stop} = await followRestoredLog();
	const before = countReads();
	fake.restore(2);
	fake.epoch = epoch;
	await time.runUntil(6000);
	stop();
	return countReads() - before;
}

/** Five reads a second; a follower that waits for records makes fewer. */
const maxReadsAhead = 25;

// Guards against a loop of reads that each end at once without a record.
test('a follower pauses between reads of a log that was restored', async () => {
	expect(await countReadsAhead(2)).toBeLessThanOrEqual(maxReadsAhead);
});

// The same for a log that does not say that it was restored.
test('a follower pauses between reads of a log that lacks the next offset', async () => {
	expect(await countReadsAhead(undefined)).toBeLessThanOrEqual(maxReadsAhead);
});

test('answers of an earlier epoch, or that do not state one, are ignored', async () => {
	// Guards against a relay that answers late, or of a version that does not pass on the epoch.
	const fake = createFakeKeyedLog();
	fake.epoch = 2;
	fake.records.push({key: 'a', value: 'new', offset: 0});
	const values: string[] = [];
	const follower = createKeyedFollower({
		log: fake.open(), events, clock: createVirtualTime(), longPollMs: 0, readIntervalMs: 0,
		onRecord({value}) {
			values.push(value!);
		},
	});
	const {signal} = new AbortController();
	expect(await follower.catchUp(signal)).toBe(true);
	fake.records.push({key: 'a', value: 'old', offset: 1});
	for (const epoch of [1, undefined]) {
		fake.epoch = epoch;
		expect(await follower.catchUp(signal)).toBe(false);
	}

	expect(values).toEqual(['new']);
	expect(follower.getEpoch()).toBe(2);
});

test('a read that was sent before a restore does not skip records of the new epoch', async () => {
	const fake = createFakeKeyedLog();
	fake.epoch = 1;
	const direct = fake.open();
	let release: () => void = () => undefined;
	let isHeld = false;
	const keys: string[] = [];
	const follower = createKeyedFollower({
		log: {
			...direct,
			async read(from, options) {
				if (isHeld) {
					await new Promise<void>(resolve => {
						release = resolve;
					});
				}

				return direct.read(from, options);
			},
		},
		events, clock: createVirtualTime(), longPollMs: 0, readIntervalMs: 0,
		onRecord({key}) {
			keys.push(key);
		},
	});
	const {signal} = new AbortController();
	const put = (key: string) => {
		fake.records.push({key, value: '1', offset: fake.records.length});
	};

	put('a');
	put('b');
	await follower.catchUp(signal);
	isHeld = true;
	const pending = follower.catchUp(signal);
	fake.restore(1);
	follower.recordEpoch(2);
	put('c');
	put('d');
	release();
	await pending;
	await follower.catchUp(signal);
	expect(keys).toContain('c');
	expect(keys).toContain('d');
});

test('a read that throws counts as failed, and the log is still followed', async () => {
	// Guards against a process that ends, or stops following a log, because of one answer.
	const time = createVirtualTime();
	const abortController = new AbortController();
	let reads = 0;
	const delivered: string[] = [];
	const follower = createKeyedFollower({
		log: {
			name: 'log',
			async readNewest() {
				await time.sleep(callMs);
				reads += 1;
				if (reads < 3) {
					throw new RangeError('Offset is outside the bounds');
				}

				return Ok({records: [{key: 'k', value: 'v', offset: 0}], end: 1});
			},
			async read() {
				await time.sleep(callMs);
				reads += 1;
				if (reads < 6) {
					throw new SyntaxError('Unexpected end of JSON input');
				}

				return Ok({records: reads === 6 ? [{key: 'l', value: 'v', offset: 1}] : [], end: 2});
			},
			append: async () => ({kind: 'refused', failure: createFailure('log-unavailable', 'Not used')}),
		},
		clock: time, events, longPollMs: 0, readIntervalMs: 100, readTimeoutMs,
		onRecord({key}) {
			delivered.push(key);
		},
	});
	const running = follower.run(abortController.signal);
	await time.runUntil(3000);
	abortController.abort();
	await time.runUntil(4000);
	await running;
	expect(delivered).toEqual(['k', 'l']);
	expect(follower.isUp()).toBe(true);
});
