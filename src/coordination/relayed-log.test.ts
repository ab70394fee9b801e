import {expect, test} from 'vitest';
import {createFakeKeyedLog} from '../../tools/harness/fake-keyed-log.js';
import {createVirtualTime} from '../../tools/measure/virtual-clock.js';
import {
	Err, createFailure, type EventLog, type KeyedLog,
} from '../protocol/mod.js';
import {createDirectPath, createKeyedFollower, createRelayedLog} from './mod.js';

const events: EventLog = {write: () => undefined, counts: new Map()};

function createWorld() {
	const store = createFakeKeyedLog();
	let now = 0;
	let isCut = false;
	let isSilent = false;
	const reached: string[] = [];
	const cut = createFakeKeyedLog();
	cut.isAway = true;
	let wake: () => void = () => undefined;
	const clock = {
		now: () => now,
		sleep: async (span: number) => span === 0
			? undefined
			: new Promise<void>(resolve => {
				wake = resolve;
			}),
	};
	const direct = store.open();
	const log = createRelayedLog({
		direct: {
			name: 'grants',
			async readNewest() {
				reached.push('direct');
				if (isSilent) {
					await new Promise(() => undefined); // eslint-disable-line no-promise-executor-return
				}

				return (isCut ? cut.open() : direct).readNewest();
			},
			read: async (from, options) => (isCut ? cut.open() : direct).read(from, options),
			append: async (record, options) => (isCut ? cut.open() : direct).append(record, options),
		},
		path: createDirectPath({clock, events}),
		clock,
		listRelays: () => ['cut', 'well'],
		openThrough(address) {
			reached.push(address);
			return address === 'well' ? store.open() : cut.open();
		},
	});
	return {
		store, log, reached,
		setCut(value: boolean) {
			isCut = value;
		},
		setSilent(value: boolean) {
			isSilent = value;
		},
		pass(span: number) {
			now += span;
			wake();
		},
	};
}

test('a gateway cut off from the store claims through a daemon that is not', async () => {
	// Callers are refused in every partition between gateways and the store,
	// though the processes beside the engines reach it all the while.
	const world = createWorld();
	world.setCut(true);
	const outcome = await world.log.append({key: 'a', value: '1'}, {at: 0});
	expect(outcome.kind).toBe('appended');
	expect(world.store.records.length).toBe(1);
});

test('an append that went both ways stands once', async () => {
	const world = createWorld();
	world.store.fates.push('lost-after');
	const outcome = await world.log.append({key: 'a', value: '1'}, {at: 0});
	expect(outcome.kind).toBe('behind');
	expect(world.store.records.length).toBe(1);
});

test('the direct way is left alone for a while and then tried again', async () => {
	const world = createWorld();
	world.setCut(true);
	await world.log.readNewest();
	world.reached.length = 0;
	await world.log.readNewest();
	expect(world.reached).toEqual(['well']);
	world.pass(1000);
	world.setCut(false);
	world.reached.length = 0;
	await world.log.readNewest();
	expect(world.reached).toEqual(['direct', 'well']);
	world.reached.length = 0;
	await world.log.readNewest();
	expect(world.reached[0]).toBe('direct');
});

test('a call does not wait for a direct way that fell silent', async () => {
	// Callers wait a second for tokens whenever their gateway is cut off: the
	// call to the store hangs until it is given up on, and only then goes
	// through a relay.
	const world = createWorld();
	world.setSilent(true);
	const first = world.log.readNewest();
	world.pass(120);
	const newest = await first;
	expect(newest.ok).toBe(true);
	expect(world.reached).toEqual(['direct', 'cut', 'well']);
	world.reached.length = 0;
	await world.log.readNewest();
	expect(world.reached).toEqual(['well']);
});

test('a call that looks whether the direct way works again is not held up by it', async () => {
	// Once a second a caller waits for tokens until the look at a way that is
	// still silent has been given up on.
	const world = createWorld();
	world.setSilent(true);
	const first = world.log.readNewest();
	world.pass(120);
	await first;
	world.pass(1000);
	world.reached.length = 0;
	const newest = await world.log.readNewest();
	expect(newest.ok).toBe(true);
	expect(world.reached).toEqual(['direct', 'well']);
});

test('a follower whose records are gone takes the newest and drops missing keys', async () => {
	// Requests go to an upstream that left long ago: the log dropped the record
	// that said so before this gateway read it.
	const store = createFakeKeyedLog();
	const known = new Set<string>();
	const follower = createKeyedFollower({
		log: store.open(), clock: {now: () => 0, sleep: async () => undefined}, events, wait: 0, every: 0, listKeys: () => [...known],
		onRecord({key, value}) {
			if (value === undefined) {
				known.delete(key);
			} else {
				known.add(key);
			}
		},
	});
	const {signal} = new AbortController();
	store.records.push({key: 'a', value: '1', offset: 0}, {key: 'b', value: '1', offset: 1});
	await follower.catchUp(signal);
	store.records.push({key: 'a', offset: 2}, {key: 'c', value: '1', offset: 3});
	store.first = 3;
	await follower.catchUp(signal);
	expect([...known].toSorted()).toEqual(['b', 'c']);
});

/**
 * A read must be over within this many milliseconds while any way works: an
 * upstream serves for 2 s after its leaving, upstreams are read each 0.5 s, and
 * 0.5 s are kept in hand.
 */
const readSpan = 1000;

/** A world in virtual time, in which ways to the store fall silent and calls on them are given up on after a while. */
function createSilentWorld(relays: readonly string[]) {
	const time = createVirtualTime();
	const store = createFakeKeyedLog();
	const silent = new Set<string>();
	const away = createFailure('log-unavailable', 'No answer');
	const log = createRelayedLog({
		direct: openSilent('direct', 1000), path: createDirectPath({clock: time, events}), clock: time,
		listRelays: () => [...relays],
		openThrough: address => openSilent(address, 1200),
	});

	function openSilent(name: string, bound: number): KeyedLog {
		return {
			...store.open(),
			async readNewest() {
				const isSilent = silent.has(name);
				await time.sleep(isSilent ? bound : 4);
				return isSilent ? Err(away) : store.open().readNewest();
			},
		};
	}

	return {
		time, silent,
		/** Begins a read; tells how long it took, in milliseconds, once it was answered. */
		read() {
			const startedAt = time.now();
			const outcome: {took: number | undefined} = {took: undefined};
			void (async () => {
				const newest = await log.readNewest();
				outcome.took = newest.ok ? time.now() - startedAt : undefined;
			})();

			return outcome;
		},
	};
}

test('a daemon that died does not hold a call up for the next', async () => {
	// A gateway learns seconds late that an engine left: its direct way to the
	// store is cut, the host of the daemon that it asks first has lost power, and
	// the next daemon is asked only when that call has been given up on.
	const {time, silent, read} = createSilentWorld(['dead', 'well']);
	silent.add('direct').add('dead');
	const first = read();
	await time.runUntil(readSpan);
	expect(first.took).toBeLessThan(readSpan);
});

test('a direct way that works again is not held up by daemons that died', async () => {
	// The gateway takes the store for away though it is back: between two looks
	// at the direct way all calls go through daemons, each is silent, and they
	// are asked in turn.
	const {time, silent, read} = createSilentWorld(['dead-1', 'dead-2', 'dead-3']);
	silent.add('direct').add('dead-1').add('dead-2').add('dead-3');
	read();
	await time.runUntil(1100);
	silent.delete('direct');
	const second = read();
	await time.runUntil(1100 + readSpan);
	expect(second.took).toBeLessThan(readSpan);
});

test('daemons that died are asked after the others', async () => {
	// A gateway that is cut off stays without news of the store for good, though
	// a daemon that reaches it lives: the three that it asks first have died, and
	// it asks the same three each time.
	const {time, silent, read} = createSilentWorld(['dead-1', 'dead-2', 'dead-3', 'well']);
	silent.add('direct').add('dead-1').add('dead-2').add('dead-3');
	read();
	await time.runUntil(3000);
	const second = read();
	await time.runUntil(3000 + readSpan);
	expect(second.took).toBeLessThan(readSpan);
});

// Guards against calls through daemons that are all cut off: each is work for two processes, beside requests
// that they could serve.
test('daemons that are all cut off are left alone for a while', async () => {
	const time = createVirtualTime();
	const asked: number[] = [];
	const away = createFailure('log-unavailable', 'It is cut off');
	const lost: KeyedLog = {
		name: 'grants',
		readNewest: async () => Err(away),
		read: async () => Err({kind: 'away', failure: away}),
		append: async () => ({kind: 'unknown', failure: away}),
	};
	const log = createRelayedLog({
		direct: lost,
		path: createDirectPath({clock: time, events}),
		clock: time,
		listRelays: () => ['a', 'b', 'c', 'd'],
		openThrough() {
			asked.push(time.now());
			return lost;
		},
	});
	const stopper = new AbortController();
	void (async () => {
		while (!stopper.signal.aborted) {
			await log.readNewest();
			await time.sleep(200);
		}
	})();

	await time.runUntil(20_000);
	stopper.abort();
	const late = asked.filter(at => at > 10_000).length / 10;
	// Five calls a second with three daemons each would be fifteen.
	expect(late).toBeLessThanOrEqual(3);
	expect(late).toBeGreaterThan(0);
});
