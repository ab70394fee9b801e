import {expect, test} from 'vitest';
import type {EventLog} from '../../protocol/mod.js';
import {createTokenAccount, type PeerView, type TokenAccount} from '../../state/mod.js';
import type {Clock} from '../../transport/mod.js';
import {createTokenLending} from '../mod.js';

const events: EventLog = {write: () => undefined, counts: new Map()};
/** A clock on which no wait for a reply ends. */
const clock: Clock = {now: () => 0, sleep: async () => new Promise(() => undefined)}; // eslint-disable-line no-promise-executor-return

type LendingOptions = {
	readonly unresponsive?: readonly string[];
	readonly unheard?: readonly string[];
	readonly account?: TokenAccount;
	readonly canLend?: () => boolean;
};

function createLending({
	unresponsive = [], unheard = [], account = createTokenAccount(), canLend,
}: LendingOptions) {
	const view: PeerView = {
		daemon: 'e2', incarnation: 'i', address: 'e2', free: [], uses: [], version: 1, isLeaving: false, hasRoom: true, crashes: [], parts: [], domains: [], limits: [],
	};
	return createTokenLending({
		daemon: 'e1', account, canLend, events, listViews: () => [view], listUnresponsive: () => unresponsive,
		listUnheard: () => unheard.map(daemon => ({daemon, address: daemon})), countWanted: () => 0, requestLoan: async () => ({tokens: 0, isClaiming: false}), canClaim: () => true,
		clock, incarnation: 'i', onCredited: () => undefined, listOwners: () => [], isOwner: () => true, claim: async () => undefined, onLent: () => undefined,
	});
}

test('a search is complete when every gateway recorded in the log has answered', async () => {
	expect(await createLending({}).borrow('c1', {needed: 100, wanted: 300, unclaimed: 0})).toEqual({tokens: 0, isComplete: true, isOwnerClaiming: false});
});

// Guards against refusing a budget as exhausted while a gateway that has just started, or is cut off, has not reported what it holds.
test('a search is incomplete while a gateway recorded in the log does not respond', async () => {
	expect(await createLending({unresponsive: ['e3']}).borrow('c1', {needed: 100, wanted: 300, unclaimed: 0})).toEqual({tokens: 0, isComplete: false, isOwnerClaiming: false});
});

// Guards against refusing a budget as busy for as long as a gateway that has just started takes to send gossip.
test('a gateway that has not been heard from yet is asked at the address that the log states', async () => {
	expect(await createLending({unresponsive: ['e3'], unheard: ['e3']}).borrow('c1', {needed: 100, wanted: 300, unclaimed: 0})).toEqual({tokens: 0, isComplete: true, isOwnerClaiming: false});
});

/** Borrows 100 tokens from an owner and two other gateways with 30 free tokens each, and returns the gateways that were asked. */
async function listAsked({unclaimed, isClaiming}: {readonly unclaimed: number; readonly isClaiming: boolean}) {
	const asked: string[] = [];
	const lending = createTokenLending({
		daemon: 'e1', account: createTokenAccount(), events, listUnresponsive: () => [], listUnheard: () => [], countWanted: () => 0,
		listViews: () => ['e2', 'e3', 'e4'].map((daemon): PeerView => ({
			daemon, incarnation: 'i', address: daemon, free: daemon === 'e2' ? [] : [{customer: 'c1', tokens: 30}], uses: [], version: 1, isLeaving: false, hasRoom: true, crashes: [], parts: [], domains: [], limits: [],
		})),
		async requestLoan(address) {
			asked.push(address);
			return {tokens: 0, isClaiming: isClaiming && address === 'e2'};
		},
		clock, incarnation: 'i', onCredited: () => undefined, listOwners: () => ['e2'], isOwner: () => false, canClaim: () => true, claim: async () => undefined, onLent: () => undefined,
	});
	const {isOwnerClaiming} = await lending.borrow('c1', {needed: 100, wanted: 100, unclaimed});
	return {asked, isOwnerClaiming};
}

test('remainders that do not suffice are left where they are while the owner can claim', async () => {
	// Guards against calls to many busy gateways one after the other that cannot serve a request.
	expect(await listAsked({unclaimed: 5000, isClaiming: true})).toEqual({asked: ['e2'], isOwnerClaiming: true});
});

test.each([{unclaimed: 50, isClaiming: true}, {unclaimed: 5000, isClaiming: false}])('remainders are borrowed if they are the last of a budget or its owner cannot claim: %o', async options => {
	expect(await listAsked(options)).toEqual({asked: ['e2', 'e3', 'e4'], isOwnerClaiming: options.isClaiming});
});

test('a gateway that may no longer lend keeps its tokens, also if it was claiming for the borrower', async () => {
	// Guards against loans from an account that is in doubt.
	const account = createTokenAccount();
	account.setGranted('c1', 500);
	let mayLend = true;
	const lending = createLending({account, canLend: () => mayLend});
	const request = {
		loan: 'l1', customer: 'c1', from: 'e2', fromIncarnation: 'i', needed: 100, wanted: 100, mayClaim: true,
	};
	expect(await lending.lend(request)).toMatchObject({tokens: 100});
	const pending = lending.lend({...request, loan: 'l2', needed: 1000});
	mayLend = false;
	expect(await pending).toMatchObject({tokens: 0, total: 100});
	expect(await lending.lend({...request, loan: 'l3'})).toMatchObject({tokens: 0, total: 100});
	expect(account.countFreeTokens('c1')).toBe(400);
});
