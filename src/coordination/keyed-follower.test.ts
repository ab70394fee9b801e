import {expect, test} from 'vitest';
import {createVirtualTime} from '../../tools/measure/virtual-clock.js';
import {
	Err, Ok, createFailure, type EventLog, type KeyedLog,
} from '../protocol/mod.js';
import {createKeyedFollower} from './mod.js';

const events: EventLog = {write: () => undefined, counts: new Map()};
const longPollMs = 1500;
const readTimeoutMs = 600;

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
