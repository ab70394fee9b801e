import {expect, test} from 'vitest';
import {createVirtualTime} from '../../tools/measure/virtual-clock.js';
import type {EventLog} from '../protocol/mod.js';
import {createGrantHolder, type Member} from '../state/mod.js';
import type {FleetClient} from '../transport/mod.js';
import {createLoanDesk, type Membership} from './mod.js';

const events: EventLog = {write: () => undefined, counts: new Map()};
const budget = 'city-budget';

/** An entry beside one that lends it 400 tokens. */
function createWorld() {
	const time = createVirtualTime();
	const holder = createGrantHolder();
	const lender = {daemon: 'entry-1', address: 'entry-1:1'} as unknown as Member;
	const repaid: string[] = [];
	let members = [lender];
	let answers = true;
	let asks = 0;
	const peer = {
		async borrow() {
			asks += 1;
			if (!answers) {
				throw new Error('The lender does not answer');
			}

			return {shares: [{grant: `g@${budget}`, amount: 400}], reserved: 0};
		},
		async repay({loan}: {loan: string}) {
			repaid.push(loan);
			return {};
		},
	};
	const loans = createLoanDesk({
		holder, clock: time, events, listWanted: () => [], listMembers: () => members,
		membership: {self: {id: 'entry-2', incarnation: 'i'}, get: () => undefined, listLiveEntries: () => [lender]} as unknown as Membership,
		fleet: {connect: () => ({peer})} as unknown as FleetClient,
	});

	async function runRounds(until: number): Promise<void> {
		for (let at = time.now(); at < until; at += 250) {
			await time.runUntil(at + 250);
			await loans.keepUp();
		}
	}

	return {
		time, holder, loans, runRounds, countRepaid: () => repaid.length, countAsks: () => asks,
		setLender(state: {readonly answers: boolean; readonly isMember: boolean}) {
			answers = state.answers;
			members = state.isMember ? [lender] : [];
		},
	};
}

test('a loan that no request uses for three seconds is repaid', async () => {
	const {holder, loans, runRounds, countRepaid} = createWorld();
	await loans.borrow(budget, 100);
	await runRounds(2500);
	expect(countRepaid()).toBe(0);
	await runRounds(3500);
	expect([countRepaid(), holder.countFree(budget)]).toEqual([1, 0]);
});

// Guards against an entry that stood still and refuses its callers, as it gives its tokens back before it looks at them.
test('a loan is not idle while the entry stands still', async () => {
	const {
		time, holder, loans, runRounds, countRepaid,
	} = createWorld();
	await loans.borrow(budget, 100);
	await runRounds(1000);
	await time.runUntil(9000);
	await loans.keepUp();
	expect([countRepaid(), holder.countFree(budget)]).toEqual([0, 400]);
	await runRounds(9500);
	expect(countRepaid()).toBe(0);
	await runRounds(10_500);
	expect(countRepaid()).toBe(1);
});

// Guards against tokens that are taken from an entry after its restart for a request that has long been refused.
test('a loan asked of an entry that has left is forgotten', async () => {
	const {
		holder, loans, runRounds, countAsks, setLender,
	} = createWorld();
	setLender({answers: false, isMember: true});
	await loans.borrow(budget, 100);
	await runRounds(1000);
	setLender({answers: false, isMember: false});
	await runRounds(2000);
	const asks = countAsks();
	setLender({answers: true, isMember: true});
	await runRounds(3000);
	expect([countAsks() - asks, holder.countFree(budget)]).toEqual([0, 0]);
});
