import {setMaxListeners} from 'node:events';
import {expect, test} from 'vitest';
import {createRandom} from '../../tools/measure/random.js';
import {createVirtualTime} from '../../tools/measure/virtual-clock.js';
import type {EventLog} from '../protocol/mod.js';
import {createPeerViews, type PeerView, type PlacedPrompt} from '../state/mod.js';
import {createPeerNews} from './mod.js';

const events: EventLog = {write: () => undefined, counts: new Map()};
/** One way between two hosts, in milliseconds. */
const delay = 1;

type Member = ReturnType<typeof createMember>;
type World = {
	readonly time: ReturnType<typeof createVirtualTime>; readonly random: () => number; readonly members: Member[]; readonly lossShare: number;
};

function createMember({time, random, members, lossShare}: World, index: number) {
	const daemon = `e${index}`;
	const views = createPeerViews();
	const state = {
		inFlight: 0, isCut: false, datagrams: 0, bytes: 0, prompts: [] as PlacedPrompt[],
	};
	const sendTo = async (message: Uint8Array, address: string) => {
		await time.sleep(delay);
		const receiver = members.find(member => member.daemon === address)!;
		if (!state.isCut && !receiver.state.isCut && random() >= lossShare) {
			receiver.state.datagrams += 1;
			receiver.state.bytes += message.length;
			receiver.news.take(message);
		}
	};

	const news = createPeerNews({
		clock: time, events, daemon, views, random,
		listPeers: () => members.filter(member => member.daemon !== daemon).map(member => ({daemon: member.daemon, newsAddress: member.daemon})),
		readOwn: (): PeerView => ({
			daemon, incarnation: 'i', address: `${daemon}:1`, version: 1, isLeaving: false, crashes: [],
			free: [{customer: 'c', tokens: 1000}],
			uses: Array.from({length: 8}, (_, upstream) => ({upstream: `upstream-${upstream}`, inFlight: state.inFlight, waitingTokens: 4000})),
		}),
		send(message, addresses) {
			for (const address of addresses) {
				void sendTo(message, address);
			}
		},
		onView: () => undefined,
		onPrompt(prompt) {
			state.prompts.push(prompt);
		},
	});
	return {
		daemon, views, state, news,
	};
}

/** Gateways whose requests change all the time. */
async function playFleet(count: number, {span, lossShare = 0}: {readonly span: number; readonly lossShare?: number}) {
	const time = createVirtualTime();
	const stopper = new AbortController();
	setMaxListeners(0, stopper.signal);
	const world: World = {
		time, random: createRandom(7), members: [], lossShare,
	};
	for (let index = 0; index < count; index += 1) {
		world.members.push(createMember(world, index));
	}

	const change = async (member: Member) => {
		while (!stopper.signal.aborted) {
			await time.sleep(50);
			member.state.inFlight += 1;
			member.news.noteChange();
		}
	};

	for (const member of world.members) {
		void member.news.run(stopper.signal);
		void change(member);
	}

	await time.runUntil(span);
	return {...world, stopper};
}

test('four gateways hear of a change in a tick', async () => {
	const {members, time, stopper} = await playFleet(4, {span: 1000});
	members[0]!.state.inFlight = 1000;
	members[0]!.news.noteChange();
	await time.runUntil(1060);
	expect(members.slice(1).map(({views}) => views.get('e0')!.uses[0]!.inFlight)).toEqual([1000, 1000, 1000]);
	stopper.abort();
});

test('ninety gateways all know each other', async () => {
	const {members, stopper} = await playFleet(90, {span: 8000, lossShare: 0.01});
	const known = members.map(({views}) => views.list().length);
	expect(Math.min(...known)).toBe(89);
	stopper.abort();
});

// Guards against messages that grow with the fleet: at 14 gateways that told each other in pairs, 0.23 cores went into it.
test('what a gateway reads does not grow with the fleet', async () => {
	const span = 6000;
	const rates: Array<{datagrams: number; bytes: number}> = [];
	for (const count of [31, 90]) {
		const {members, stopper} = await playFleet(count, {span});
		const perGateway = (read: (member: Member) => number) => members.map(member => read(member)).reduce((sum, value) => sum + value, 0) / count / (span / 1000);
		rates.push({datagrams: perGateway(({state}) => state.datagrams), bytes: perGateway(({state}) => state.bytes)});
		stopper.abort();
	}

	expect(rates[1]!.datagrams).toBeLessThan(rates[0]!.datagrams * 1.1);
	expect(rates[1]!.datagrams).toBeLessThan(35);
	expect(rates[1]!.bytes).toBeLessThan(50_000);
});

// Guards against requests counted at a gateway that is gone: upstreams would look loaded for good.
test('a gateway that is cut off is dropped, and known again when it is back', async () => {
	const {members, time, stopper} = await playFleet(14, {span: 3000});
	members[0]!.state.isCut = true;
	await time.runUntil(8000);
	expect(members[1]!.views.has('e0')).toBe(false);
	expect(members[1]!.news.listSilent()).toEqual(['e0']);
	members[0]!.state.isCut = false;
	await time.runUntil(10_000);
	expect(members.slice(1).every(({views}) => views.has('e0'))).toBe(true);
	stopper.abort();
});

// Guards against a refusal for good while a gateway that has just started has not said what it holds.
test('a gateway is silent until it is heard, and for some seconds after it was heard last', async () => {
	const {members, time, stopper} = await playFleet(2, {span: 0});
	expect(members[0]!.news.listSilent()).toEqual(['e1']);
	await time.runUntil(1000);
	expect(members[0]!.news.listSilent()).toEqual([]);
	members[1]!.state.isCut = true;
	await time.runUntil(3500);
	expect(members[0]!.news.listSilent()).toEqual(['e1']);
	await time.runUntil(13_000);
	expect(members[0]!.news.listSilent()).toEqual([]);
	stopper.abort();
});

test('prompts are told to the gateways that an entry goes to', async () => {
	const {members, time, stopper} = await playFleet(4, {span: 1000});
	const prompt: PlacedPrompt = {upstream: 'u', memory: 1000, parts: [{id: 'a', tokens: 10}]};
	members[0]!.news.notePrompt(prompt);
	await time.runUntil(1060);
	expect(members.slice(1).map(({state}) => state.prompts.map(({upstream}) => upstream))).toEqual([['u'], ['u'], ['u']]);
	stopper.abort();
});

// Guards against the end of the process by a datagram of another version.
test('bytes that are no news change nothing', async () => {
	const {members, stopper} = await playFleet(2, {span: 1000});
	members[0]!.news.take(new Uint8Array([255, 255, 255]));
	members[0]!.news.take(new Uint8Array(0));
	expect(members[0]!.views.list()).toHaveLength(1);
	stopper.abort();
});
