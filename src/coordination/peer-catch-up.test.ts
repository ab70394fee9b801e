import {setImmediate as turn} from 'node:timers/promises';
import {expect, test} from 'vitest';
import type {EventLog} from '../protocol/mod.js';
import type {PeerView} from '../state/mod.js';
import {createPeerCatchUp, type CatchUpAsk} from './mod.js';

const events: EventLog = {write: () => undefined, counts: new Map()};

function buildView(daemon: string, version: number): PeerView {
	return {
		daemon, incarnation: 'i', address: `${daemon}:1`, free: [], uses: [], version, isLeaving: false, crashes: [],
	};
}

async function settle(): Promise<void> {
	for (let index = 0; index < 5; index += 1) {
		await turn();
	}
}

function createWorld() {
	const asked: Array<CatchUpAsk & {readonly address: string}> = [];
	const world = {version: 0, abandoned: 0, isSilent: false};
	const catchUp = createPeerCatchUp({
		clock: {now: () => 0, sleep: async () => undefined}, events,
		findVersion: () => world.version,
		async ask(address, ask) {
			asked.push({address, ...ask});
			if (world.isSilent) {
				throw new Error('It does not answer');
			}

			return {deployment: ask.knownVersion < 7 ? new TextEncoder().encode('7') : new Uint8Array(), prompts: [], crashes: []};
		},
		onDeployment(record) {
			world.version = Number(record);
		},
		onPrompt: () => undefined,
		onCrashes: () => undefined,
		abandon() {
			world.abandoned += 1;
		},
	});
	return {world, asked, catchUp};
}

test('a gateway that starts asks one peer for deployment and prompts', async () => {
	const {world, asked, catchUp} = createWorld();
	for (const daemon of ['e1', 'e2', 'e3']) {
		catchUp.note(buildView(daemon, 7));
	}

	await settle();
	catchUp.note(buildView('e2', 7));
	await settle();
	expect(asked).toEqual([{address: 'e1:1', knownVersion: 0, wantsPrompts: true}]);
	expect(world.version).toBe(7);
});

// Guards against an old deployment while this gateway is cut off from the store.
test('a newer deployment is fetched from the peer that names it', async () => {
	const {world, asked, catchUp} = createWorld();
	world.version = 6;
	catchUp.note(buildView('e1', 6));
	await settle();
	world.version = 6;
	catchUp.note(buildView('e2', 7));
	await settle();
	expect(asked.map(({address, wantsPrompts}) => [address, wantsPrompts])).toEqual([['e1:1', true], ['e2:1', false]]);
	expect(world.version).toBe(7);
});

test('a peer that does not answer is abandoned, and the next one asked', async () => {
	const {world, asked, catchUp} = createWorld();
	world.isSilent = true;
	catchUp.note(buildView('e1', 7));
	await settle();
	expect(world.abandoned).toBe(1);
	world.isSilent = false;
	catchUp.note(buildView('e2', 7));
	await settle();
	expect(asked.at(-1)?.address).toBe('e2:1');
	expect(world.version).toBe(7);
});
