import Emittery from 'emittery';
import {expect, test} from 'vitest';
import {createVirtualTime} from '../../../tools/measure/virtual-clock.js';
import {
	Ok, type EventLog, type LogRecord,
} from '../../protocol/mod.js';
import {createFleetState, createGrantHolder, type Member} from '../../state/mod.js';
import type {FleetClient} from '../../transport/mod.js';
import {
	AheadGrantPolicy, createGrantManager, createLoanManager, type LoanAnswer, type LogFollower, type LogWriter, type Membership, type Self,
} from '../mod.js';

const events: EventLog = {write: () => undefined, counts: new Map()};
const budget = 'city-budget';

function joinEntry(daemon: string): LogRecord {
	return {
		kind: 'join', daemon, incarnation: 'i', role: 'entry', address: `${daemon}:1`, failureDomain: 'domain-1', serves: [], work: 'none',
	};
}

const setUp: readonly LogRecord[] = [
	joinEntry('entry-1'),
	joinEntry('entry-2'),
	{
		kind: 'plan', plan: 'p', basis: 0, by: 'operator', changes: [
			{change: 'put-customer', customer: {id: 'city', priority: 5}},
			{change: 'put-budget', budget: {id: budget, customer: 'city', weighs: 'refusals'}},
			{change: 'top-up', budget, tokens: 1000},
		],
	},
	{kind: 'confirm', plan: 'p', by: 'operator'},
];

type SimulationOptions = {
	/** Tokens that the peer holds, of 1000 bought; default all. */
	readonly heldByPeer?: number;
	/** Duration of a claim, in milliseconds; default 0. */
	readonly claimDurationMs?: number;
};

/** Simulates an entry daemon that holds no tokens, with one peer. */
function createSimulation(borrow: () => Promise<LoanAnswer>, {heldByPeer = 1000, claimDurationMs = 0}: SimulationOptions = {}) {
	const time = createVirtualTime();
	const state = createFleetState({retentionMs: 1_000_000});
	const emitter = new Emittery();
	let isLogUp = true;
	let isPeerAlive = true;
	const requestedLoans: string[] = [];

	async function fold(record: LogRecord): Promise<void> {
		state.fold({offset: state.getNextOffset(), at: time.now(), data: record});
		await emitter.emit('folded', {data: record});
	}

	for (const record of setUp) {
		void fold(record);
	}

	void fold({
		kind: 'claim', grant: `g@${budget}`, budget, daemon: 'entry-1', incarnation: 'i', amount: heldByPeer,
	});
	const self: Self = {
		id: 'entry-2', role: 'entry', incarnation: 'i', isLeaving: false,
	};
	const listMembers = () => state.placement.list();
	const membership = {
		self,
		get: () => undefined,
		isAlive: () => isPeerAlive,
		listLiveEntries: (members: Iterable<Readonly<Member>>) => [...members].filter(({daemon}) => daemon !== self.id && isPeerAlive),
	} as unknown as Membership;
	const follower = {events: emitter, state: () => state, isLogUp: () => isLogUp} as unknown as LogFollower;
	const writer = {
		async commit(record: LogRecord) {
			await time.sleep(claimDurationMs);
			await fold(record);
			return Ok(undefined);
		},
	} as unknown as LogWriter;
	const holder = createGrantHolder();
	const fleet = {
		connect: () => ({
			peer: {
				async borrow({loan}: {loan: string}) {
					requestedLoans.push(loan);
					return borrow();
				},
			},
		}),
	} as unknown as FleetClient;
	const loans = createLoanManager({
		holder, membership, fleet, clock: time, events, listMembers, listWaitingAmounts: id => manager.listWanted(id),
	});
	const manager = createGrantManager({
		follower, writer, membership, holder, loans, clock: time, events, policy: new AheadGrantPolicy(), intervalMs: 250,
	});
	return {
		time, manager,
		listRequestedLoans: () => requestedLoans,
		setLogUp(value: boolean) {
			isLogUp = value;
		},
		suspectPeer() {
			isPeerAlive = false;
		},
		async endPeer() {
			await fold({
				kind: 'leave', daemon: 'entry-1', incarnation: 'i', graceful: false, by: 'entry-2',
			});
		},
		acquire: async (amount = 338) => manager.acquire(budget, amount, {timeoutMs: 5000, signal: new AbortController().signal}),
	};
}

async function failToAnswer(): Promise<never> {
	throw new Error('The peer does not answer');
}

const lendNothing = async (): Promise<LoanAnswer> => ({shares: [], reserved: 0});

// Guards against a refusal as spent in the second before the failure of the entry daemon that holds the budget is detected.
test('a request waits for the tokens of a peer that has just failed', async () => {
	const {time, acquire, suspectPeer, endPeer} = createSimulation(failToAnswer);
	const answer = acquire();
	await time.runUntil(1000);
	suspectPeer();
	await time.runUntil(2000);
	await endPeer();
	await time.runUntil(3000);
	const reserved = await answer;
	expect(reserved.ok).toBe(true);
});

// Guards against a retry delay of half a minute because a peer did not respond.
test('a budget is not refused as spent while a peer does not respond', async () => {
	const {time, acquire} = createSimulation(failToAnswer);
	const answer = acquire();
	await time.runUntil(6000);
	const refused = await answer;
	expect(refused.val).toMatchObject({type: 'budget-busy', ran: 'no', retryAfterMs: 2000});
});

// Guards against a refusal as spent while tokens of an unresponsive peer cannot be reclaimed because the log is unavailable.
test('while the log is unavailable, tokens of an unresponsive peer are refused at once as busy', async () => {
	const {time, acquire, setLogUp, suspectPeer} = createSimulation(failToAnswer);
	setLogUp(false);
	suspectPeer();
	const answer = acquire();
	await time.runUntil(500);
	const refused = await answer;
	expect(refused.val).toMatchObject({type: 'budget-busy', ran: 'no', retryAfterMs: 2000});
});

// Guards against a new loan in each step of a wait; each would lock tokens if it was answered late.
test('an unanswered loan request is repeated under the same ID', async () => {
	const {time, acquire, listRequestedLoans} = createSimulation(failToAnswer);
	const answer = acquire();
	await time.runUntil(6000);
	await answer;
	expect(listRequestedLoans().length).toBeGreaterThan(5);
	expect(new Set(listRequestedLoans()).size).toBe(1);
});

// Guards against a refusal as spent because the running claim was sized before the request arrived.
test('tokens are claimed for a request that a running claim does not cover', async () => {
	const {time, manager, acquire} = createSimulation(lendNothing, {heldByPeer: 0, claimDurationMs: 100});
	const abortController = new AbortController();
	void manager.run(abortController.signal);
	await time.runUntil(50);
	const answer = acquire(700);
	await time.runUntil(2000);
	const reserved = await answer;
	expect(reserved.ok).toBe(true);
	abortController.abort();
});

// Guards against waiting for tokens that no daemon holds.
test('a budget that is used up according to every peer is refused at once as spent', async () => {
	const {time, acquire} = createSimulation(lendNothing);
	const answer = acquire();
	await time.runUntil(500);
	const refused = await answer;
	expect(refused.val).toMatchObject({type: 'budget-spent', ran: 'no', retryAfterMs: 30_000});
});
