import {expect, test} from 'vitest';
import {createCrashRegistry, type CrashRecord} from '../state/mod.js';
import {createQuarantine, rankByRendezvous} from './mod.js';

const gateways = ['g1', 'g2', 'g3'];
const digest = 'poison';
/** The gateways in the order in which they may try the request. */
const order = rankByRendezvous(digest, gateways);

function createWorld(daemon = order[0]!) {
	const world = {now: 0, changes: 0, logged: [] as unknown[]};
	const quarantine = createQuarantine({
		book: createCrashRegistry(), daemon, listPeers: () => gateways.filter(name => name !== daemon),
		clock: {now: () => world.now, sleep: async () => undefined},
		events: {
			write(_event, fields) {
				world.logged.push(fields?.cause);
			},
			counts: new Map(),
		},
		onChange() {
			world.changes += 1;
		},
		onCrash: () => undefined,
	});

	function crash(count: number): void {
		for (let index = 0; index < count; index += 1) {
			quarantine.begin(digest).noteCrash(`u${index}`);
		}
	}

	return {world, quarantine, crash};
}

test('a request is held back after three crashes in a row', () => {
	const {quarantine, crash} = createWorld();
	crash(2);
	expect(quarantine.admit(digest).ok).toBe(true);
	crash(1);
	const refused = quarantine.admit(digest);
	expect(refused.err && refused.val).toMatchObject({type: 'quarantined', ran: 'no', retryAfterMs: undefined});
	expect(quarantine.admit('other').ok).toBe(true);
});

// Guards against a sound request that is held back because upstreams crash one after the other while it runs well elsewhere.
test('an answer between crashes lets a request go on', () => {
	const {quarantine, crash} = createWorld();
	for (let round = 0; round < 10; round += 1) {
		crash(2);
		quarantine.begin(digest).noteAnswered();
	}

	expect(quarantine.admit(digest).ok).toBe(true);
	expect(quarantine.isSuspected(digest)).toBe(false);
});

// Guards against a request that many send, and that is held back when all upstreams of a service crash at the same moment.
test('crashes at the same moment count once', () => {
	const {quarantine} = createWorld();
	const runs = Array.from({length: 20}, () => quarantine.begin(digest));
	for (const run of runs) {
		run.noteCrash('u1');
	}

	expect(quarantine.listHeld()).toEqual([]);
	expect(quarantine.admit(digest).ok).toBe(true);
});

test('a run that was under way as its request was held back still clears it', () => {
	const {quarantine, crash} = createWorld();
	const early = quarantine.begin(digest);
	crash(3);
	early.noteAnswered();
	expect(quarantine.admit(digest).ok).toBe(true);
});

test('after two crashes a request is not sent on to the next upstream', () => {
	const {quarantine, crash} = createWorld();
	crash(1);
	expect([quarantine.maySendOn(digest), quarantine.isSuspected(digest)]).toEqual([true, false]);
	crash(1);
	expect([quarantine.maySendOn(digest), quarantine.isSuspected(digest)]).toEqual([false, true]);
});

// Guards against refusals for good of what runs well by now, and against one more crash for each gateway that tries it.
test('a held request is tried once, by one gateway, and then after twice the time', () => {
	const {world, quarantine, crash} = createWorld();
	const second = createWorld(order[1]);
	crash(3);
	second.quarantine.take(quarantine.listNews()[0]!, 'peer');
	world.now = 30_000;
	second.world.now = 30_000;
	expect(second.quarantine.admit(digest).ok).toBe(false);
	expect(quarantine.admit(digest).ok).toBe(true);
	expect(quarantine.admit(digest).ok).toBe(false);
	quarantine.begin(digest).noteCrash('u4');
	world.now += 59_999;
	expect(quarantine.admit(digest).ok).toBe(false);
	world.now += 1;
	expect(quarantine.admit(digest).ok).toBe(true);
	quarantine.begin(digest).noteAnswered();
	expect(quarantine.admit(digest).ok).toBe(true);
});

test('the second gateway in the order tries a request that does not come to the first', () => {
	const {world, quarantine, crash} = createWorld(order[1]);
	crash(3);
	world.now = 59_999;
	expect(quarantine.admit(digest).ok).toBe(false);
	world.now = 60_000;
	expect(quarantine.admit(digest).ok).toBe(true);
});

test('gateways tell each other of crashes and answers', () => {
	const sender = createWorld();
	const receiver = createWorld(order[1]);
	const tell = () => {
		for (const record of sender.quarantine.listNews()) {
			receiver.quarantine.take(record, 'peer');
		}
	};

	sender.crash(3);
	tell();
	expect(receiver.quarantine.admit(digest).ok).toBe(false);
	const {changes} = receiver.world;
	tell();
	expect(receiver.world.changes).toBe(changes);
	sender.quarantine.begin(digest).noteAnswered();
	tell();
	expect(receiver.quarantine.admit(digest).ok).toBe(true);
});

// Guards against a line at each gateway for each request that stood under a crash.
test('news of crashes elsewhere are logged only when the request is held back or let go', () => {
	const {world, quarantine} = createWorld();
	for (const record of [{round: 0, crashes: 1}, {round: 0, crashes: 2}, {round: 0, crashes: 3}, {round: 1, crashes: 0}]) {
		quarantine.take({digest, ...record}, 'peer');
	}

	expect(world.logged).toEqual(['peer', 'peer']);
	expect(world.changes).toBe(4);
});

test('what has not changed for ten seconds is told no more', () => {
	const {world, quarantine, crash} = createWorld();
	crash(1);
	world.now = 9999;
	expect(quarantine.listNews()).toHaveLength(1);
	world.now = 10_000;
	expect(quarantine.listNews()).toEqual([]);
	expect(quarantine.listAll()).toHaveLength(1);
});

test('an operator sees what is held back and lets it go', () => {
	const {world, quarantine, crash} = createWorld();
	crash(3);
	world.now = 10_000;
	expect(quarantine.listHeld()).toEqual([{
		digest, round: 0, crashes: 3, heldMs: 10_000, trialMs: 20_000,
	}]);
	expect(quarantine.release(digest)).toBe(true);
	expect(quarantine.release(digest)).toBe(false);
	expect(quarantine.admit(digest).ok).toBe(true);
});

test('news tell at most twelve requests, those with most crashes first', () => {
	const {quarantine, crash} = createWorld();
	crash(3);
	for (let index = 0; index < 40; index += 1) {
		quarantine.begin(`varied-${index}`).noteCrash('u1');
	}

	const told: CrashRecord[] = quarantine.listNews();
	expect(told).toHaveLength(12);
	expect(told[0]!.digest).toBe(digest);
});
