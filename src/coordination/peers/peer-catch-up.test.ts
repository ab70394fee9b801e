import process from 'node:process';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {expect, test} from 'vitest';
import type {EventLog} from '../../protocol/mod.js';
import type {PeerView} from '../../state/mod.js';
import {createPeerCatchUp, type CatchUpQuery} from '../mod.js';

const events: EventLog = {write: () => undefined, counts: new Map()};

function buildView(daemon: string, version: number): PeerView {
	return {
		daemon, incarnation: 'i', address: `${daemon}:1`, free: [], uses: [], version, isLeaving: false, hasRoom: true, crashes: [], parts: [], domains: [], limits: [],
	};
}

async function flushTasks(): Promise<void> {
	for (let index = 0; index < 5; index += 1) {
		await nextTurn();
	}
}

function createFixture() {
	const queries: Array<CatchUpQuery & {readonly address: string}> = [];
	const state = {
		version: 0, abandoned: 0, isUnresponsive: false, failsToAbandon: false,
	};
	const catchUp = createPeerCatchUp({
		clock: {now: () => 0, sleep: async () => undefined}, events,
		findVersion: () => state.version,
		async queryPeer(address, query) {
			queries.push({address, ...query});
			if (state.isUnresponsive) {
				throw new Error('Peer did not respond');
			}

			return {
				deployment: query.knownVersion < 7 ? new TextEncoder().encode('7') : new Uint8Array(), prompts: [], crashes: [], parts: [], readParts: [], domains: [],
			};
		},
		onDeployment(record) {
			state.version = Number(record);
		},
		onPrompt: () => undefined,
		onCrashRecord: () => undefined,
		onPartRecord: () => undefined,
		onReadParts: () => undefined,
		abandonConnection() {
			state.abandoned += 1;
			if (state.failsToAbandon) {
				throw new TypeError('Invalid URL');
			}
		},
	});
	return {state, queries, catchUp};
}

test('a starting gateway queries one peer for the deployment and prompts', async () => {
	const {state, queries, catchUp} = createFixture();
	for (const daemon of ['e1', 'e2', 'e3']) {
		catchUp.handleView(buildView(daemon, 7));
	}

	await flushTasks();
	catchUp.handleView(buildView('e2', 7));
	await flushTasks();
	expect(queries).toEqual([{address: 'e1:1', knownVersion: 0, wantsPrompts: true}]);
	expect(state.version).toBe(7);
});

// Guards against an outdated deployment while this gateway is partitioned from the store.
test('a newer deployment is fetched from the peer that advertises it', async () => {
	const {state, queries, catchUp} = createFixture();
	state.version = 6;
	catchUp.handleView(buildView('e1', 6));
	await flushTasks();
	state.version = 6;
	catchUp.handleView(buildView('e2', 7));
	await flushTasks();
	expect(queries.map(({address, wantsPrompts}) => [address, wantsPrompts])).toEqual([['e1:1', true], ['e2:1', false]]);
	expect(state.version).toBe(7);
});

test('the connection to an unresponsive peer is abandoned, and the next peer is queried', async () => {
	const {state, queries, catchUp} = createFixture();
	state.isUnresponsive = true;
	catchUp.handleView(buildView('e1', 7));
	await flushTasks();
	expect(state.abandoned).toBe(1);
	state.isUnresponsive = false;
	catchUp.handleView(buildView('e2', 7));
	await flushTasks();
	expect(queries.at(-1)?.address).toBe('e2:1');
	expect(state.version).toBe(7);
});

// Guards against the end of a gateway, and against one that queries no peer any more, at the address that one peer has told.
test('a connection that cannot be abandoned ends neither the process nor the catch-up', async () => {
	const {state, queries, catchUp} = createFixture();
	const unhandled: unknown[] = [];
	const recordUnhandled = (error: unknown) => {
		unhandled.push(error);
	};

	const others = process.listeners('unhandledRejection');
	process.removeAllListeners('unhandledRejection');
	process.on('unhandledRejection', recordUnhandled);
	try {
		Object.assign(state, {isUnresponsive: true, failsToAbandon: true});
		catchUp.handleView(buildView('x y', 7));
		await flushTasks();
		Object.assign(state, {isUnresponsive: false, failsToAbandon: false});
		catchUp.handleView(buildView('e2', 7));
		await flushTasks();
		expect(unhandled).toEqual([]);
		expect(queries.map(({address}) => address)).toEqual(['x y:1', 'e2:1']);
		expect(state.version).toBe(7);
	} finally {
		process.off('unhandledRejection', recordUnhandled);
		for (const listener of others) {
			process.on('unhandledRejection', listener);
		}
	}
});
