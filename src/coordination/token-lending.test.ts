import {expect, test} from 'vitest';
import type {EventLog} from '../protocol/mod.js';
import {createTokenAccount, type PeerView} from '../state/mod.js';
import {createTokenLending} from './mod.js';

const events: EventLog = {write: () => undefined, counts: new Map()};

function createLending(unresponsive: readonly string[]) {
	const view: PeerView = {
		daemon: 'e2', incarnation: 'i', address: 'e2', free: [], uses: [], version: 1, isLeaving: false, crashes: [], domains: [],
	};
	return createTokenLending({
		daemon: 'e1', account: createTokenAccount(), events, listViews: () => [view], listUnresponsive: () => unresponsive, countWanted: () => 0, requestLoan: async () => 0,
		clock: {now: () => 0, sleep: async () => undefined}, listOwners: () => [], isOwner: () => true, claim: async () => undefined, onLent: () => undefined,
	});
}

test('a search is complete when every gateway recorded in the log has answered', async () => {
	expect(await createLending([]).borrow('c1', {needed: 100, wanted: 300})).toEqual({tokens: 0, isComplete: true});
});

// Guards against refusing a budget as exhausted while a gateway that has just started, or is cut off, has not reported what it holds.
test('a search is incomplete while a gateway recorded in the log does not respond', async () => {
	expect(await createLending(['e3']).borrow('c1', {needed: 100, wanted: 300})).toEqual({tokens: 0, isComplete: false});
});
