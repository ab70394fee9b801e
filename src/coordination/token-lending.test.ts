import {expect, test} from 'vitest';
import type {EventLog} from '../protocol/mod.js';
import {createTokenAccount, type PeerView} from '../state/mod.js';
import {createTokenLending} from './mod.js';

const events: EventLog = {write: () => undefined, counts: new Map()};

type LendingOptions = {readonly unresponsive?: readonly string[]; readonly unheard?: readonly string[]};

function createLending({unresponsive = [], unheard = []}: LendingOptions) {
	const view: PeerView = {
		daemon: 'e2', incarnation: 'i', address: 'e2', free: [], uses: [], version: 1, isLeaving: false, hasRoom: true, crashes: [], parts: [], domains: [], limits: [],
	};
	return createTokenLending({
		daemon: 'e1', account: createTokenAccount(), events, listViews: () => [view], listUnresponsive: () => unresponsive,
		listUnheard: () => unheard.map(daemon => ({daemon, address: daemon})), countWanted: () => 0, requestLoan: async () => 0,
		clock: {now: () => 0, sleep: async () => undefined}, listOwners: () => [], isOwner: () => true, claim: async () => undefined, onLent: () => undefined,
	});
}

test('a search is complete when every gateway recorded in the log has answered', async () => {
	expect(await createLending({}).borrow('c1', {needed: 100, wanted: 300})).toEqual({tokens: 0, isComplete: true});
});

// Guards against refusing a budget as exhausted while a gateway that has just started, or is cut off, has not reported what it holds.
test('a search is incomplete while a gateway recorded in the log does not respond', async () => {
	expect(await createLending({unresponsive: ['e3']}).borrow('c1', {needed: 100, wanted: 300})).toEqual({tokens: 0, isComplete: false});
});

// Guards against refusing a budget as busy for as long as a gateway that has just started takes to send gossip.
test('a gateway that has not been heard from yet is asked at the address that the log states', async () => {
	expect(await createLending({unresponsive: ['e3'], unheard: ['e3']}).borrow('c1', {needed: 100, wanted: 300})).toEqual({tokens: 0, isComplete: true});
});
