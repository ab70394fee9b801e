import {expect, test} from 'vitest';
import {createVirtualTime} from '../../tools/measure/virtual-clock.js';
import type {EventLog} from '../protocol/mod.js';
import {createPeerExchange, type PeerView} from './mod.js';

const events: EventLog = {write: () => undefined, counts: new Map()};

function createExchange() {
	const time = createVirtualTime();
	const view: PeerView = {
		daemon: 'e2', incarnation: 'i', address: 'e2:1', free: [], uses: [], version: 1, isLeaving: false,
	};
	let answers = true;
	const exchange = createPeerExchange({
		clock: time, events, daemon: 'e1', every: 300,
		listPeers: () => [{daemon: 'e2', incarnation: 'i', address: 'e2:1'}],
		async exchange() {
			if (!answers) {
				throw new Error('The peer does not answer');
			}

			return view;
		},
		onView: () => undefined,
		abandon: () => undefined,
	});
	return {
		time, exchange,
		fallSilent() {
			answers = false;
		},
	};
}

test('a gateway is silent until it is heard, and for some seconds after it was heard last', async () => {
	const {time, exchange, fallSilent} = createExchange();
	const stopper = new AbortController();
	expect(exchange.listSilent()).toEqual(['e2']);
	void exchange.run(stopper.signal);
	await time.runUntil(1000);
	expect(exchange.listSilent()).toEqual([]);
	fallSilent();
	await time.runUntil(3000);
	expect(exchange.listSilent()).toEqual(['e2']);
	// A host that never comes back is no reason to ask its callers back for good.
	await time.runUntil(13_000);
	expect(exchange.listSilent()).toEqual([]);
	stopper.abort();
});
