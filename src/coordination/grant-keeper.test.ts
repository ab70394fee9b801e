import Emittery from 'emittery';
import {expect, test} from 'vitest';
import {createVirtualTime} from '../../tools/measure/virtual-clock.js';
import {
	Ok, type EventLog, type LogRecord,
} from '../protocol/mod.js';
import {createFleetState, createGrantHolder, type Member} from '../state/mod.js';
import type {FleetClient} from '../transport/mod.js';
import {
	AheadGrantPolicy, createGrantKeeper, createLoanDesk, type LoanAnswer, type LogFollower, type LogWriter, type Membership, type Self,
} from './mod.js';

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

type WorldOptions = {
	/** Tokens that the other entry holds, of 1000 bought; default all. */
	readonly heldByPeer?: number;
	/** Milliseconds that a claim takes; default 0. */
	readonly claimTime?: number;
};

/** An entry that holds nothing, beside another one. */
function createWorld(borrow: () => Promise<LoanAnswer>, {heldByPeer = 1000, claimTime = 0}: WorldOptions = {}) {
	const time = createVirtualTime();
	const state = createFleetState({window: 1_000_000});
	const emitter = new Emittery();
	let isLogUp = true;
	let isPeerAlive = true;
	const asked: string[] = [];

	async function fold(record: LogRecord): Promise<void> {
		state.fold({offset: state.next(), at: time.now(), data: record});
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
			await time.sleep(claimTime);
			await fold(record);
			return Ok(undefined);
		},
	} as unknown as LogWriter;
	const holder = createGrantHolder();
	const fleet = {
		connect: () => ({
			peer: {
				async borrow({loan}: {loan: string}) {
					asked.push(loan);
					return borrow();
				},
			},
		}),
	} as unknown as FleetClient;
	const loans = createLoanDesk({
		holder, membership, fleet, clock: time, events, listMembers, listWanted: id => keeper.listWanted(id),
	});
	const keeper = createGrantKeeper({
		follower, writer, membership, holder, loans, clock: time, events, policy: new AheadGrantPolicy(), every: 250,
	});
	return {
		time, keeper,
		listAsked: () => asked,
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
		acquire: async (amount = 338) => keeper.acquire(budget, amount, {patience: 5000, signal: new AbortController().signal}),
	};
}

async function failToAnswer(): Promise<never> {
	throw new Error('The peer does not answer');
}

const lendNothing = async (): Promise<LoanAnswer> => ({shares: [], reserved: 0});

// Guards against a refusal as spent in the second in which an entry that holds the budget has died unnoticed.
test('tokens of a peer that has just died are waited for', async () => {
	const {time, acquire, suspectPeer, endPeer} = createWorld(failToAnswer);
	const answer = acquire();
	await time.runUntil(1000);
	suspectPeer();
	await time.runUntil(2000);
	await endPeer();
	await time.runUntil(3000);
	const reserved = await answer;
	expect(reserved.ok).toBe(true);
});

// Guards against telling a caller to come back in half a minute because a peer kept silent.
test('a peer that keeps silent is no reason to refuse as spent', async () => {
	const {time, acquire} = createWorld(failToAnswer);
	const answer = acquire();
	await time.runUntil(6000);
	const refused = await answer;
	expect(refused.val).toMatchObject({type: 'budget-busy', ran: 'no', retryAfterMs: 2000});
});

// Guards against a refusal as spent while the log cannot take back what a silent peer holds.
test('tokens of a silent peer while the log is down are refused at once, and not as spent', async () => {
	const {time, acquire, setLogUp, suspectPeer} = createWorld(failToAnswer);
	setLogUp(false);
	suspectPeer();
	const answer = acquire();
	await time.runUntil(500);
	const refused = await answer;
	expect(refused.val).toMatchObject({type: 'budget-busy', ran: 'no', retryAfterMs: 2000});
});

// Guards against a loan asked for anew in each step of a wait, each of which would lock tokens when answered late.
test('a loan that is not answered is asked for again under its number', async () => {
	const {time, acquire, listAsked} = createWorld(failToAnswer);
	const answer = acquire();
	await time.runUntil(6000);
	await answer;
	expect(listAsked().length).toBeGreaterThan(5);
	expect(new Set(listAsked()).size).toBe(1);
});

// Guards against a refusal as spent because the claim under way was sized before the request came.
test('a request that a running claim does not cover is claimed for', async () => {
	const {time, keeper, acquire} = createWorld(lendNothing, {heldByPeer: 0, claimTime: 100});
	const stopper = new AbortController();
	void keeper.run(stopper.signal);
	await time.runUntil(50);
	const answer = acquire(700);
	await time.runUntil(2000);
	const reserved = await answer;
	expect(reserved.ok).toBe(true);
	stopper.abort();
});

// Guards against waiting for tokens that no daemon has.
test('a budget that every peer says is used up is refused at once as spent', async () => {
	const {time, acquire} = createWorld(lendNothing);
	const answer = acquire();
	await time.runUntil(500);
	const refused = await answer;
	expect(refused.val).toMatchObject({type: 'budget-spent', ran: 'no', retryAfterMs: 30_000});
});
