import {expect, test} from 'vitest';
import {createVirtualTime} from '../../../tools/measure/virtual-clock.js';
import type {EventLog} from '../../protocol/mod.js';
import {createGrantHolder, type Member} from '../../state/mod.js';
import type {FleetClient} from '../../transport/mod.js';
import {createLoanManager, type Membership} from '../mod.js';

const events: EventLog = {write: () => undefined, counts: new Map()};
const budget = 'city-budget';

/** Creates the loan manager of an entry daemon, and a peer that lends it 400 tokens. */
function createFixture() {
	const time = createVirtualTime();
	const holder = createGrantHolder();
	const lender = {daemon: 'entry-1', address: 'entry-1:1'} as unknown as Member;
	const repaid: string[] = [];
	let members = [lender];
	let isResponding = true;
	let borrowCalls = 0;
	const peer = {
		async borrow() {
			borrowCalls += 1;
			if (!isResponding) {
				throw new Error('The lender does not answer');
			}

			return {shares: [{grant: `g@${budget}`, amount: 400}], reserved: 0};
		},
		async repay({loan}: {loan: string}) {
			repaid.push(loan);
			return {};
		},
	};
	const loans = createLoanManager({
		holder, clock: time, events, listWaitingAmounts: () => [], listMembers: () => members,
		membership: {self: {id: 'entry-2', incarnation: 'i'}, get: () => undefined, listLiveEntries: () => [lender]} as unknown as Membership,
		fleet: {connect: () => ({peer})} as unknown as FleetClient,
	});

	async function runRounds(until: number): Promise<void> {
		for (let at = time.now(); at < until; at += 250) {
			await time.runUntil(at + 250);
			await loans.runRound();
		}
	}

	return {
		time, holder, loans, runRounds, countRepaid: () => repaid.length, countBorrowCalls: () => borrowCalls,
		setLender(state: {readonly isResponding: boolean; readonly isMember: boolean}) {
			isResponding = state.isResponding;
			members = state.isMember ? [lender] : [];
		},
	};
}

test('a loan is repaid after three seconds without a request that uses it', async () => {
	const {holder, loans, runRounds, countRepaid} = createFixture();
	await loans.borrow(budget, 100);
	await runRounds(2500);
	expect(countRepaid()).toBe(0);
	await runRounds(3500);
	expect([countRepaid(), holder.countFreeTokens(budget)]).toEqual([1, 0]);
});

// Guards against an entry daemon that resumes after a pause and refuses its waiting callers, because it has repaid their
// tokens before it reads their requests.
test('a loan does not become idle while the process is paused', async () => {
	const {
		time, holder, loans, runRounds, countRepaid,
	} = createFixture();
	await loans.borrow(budget, 100);
	await runRounds(1000);
	await time.runUntil(9000);
	await loans.runRound();
	expect([countRepaid(), holder.countFreeTokens(budget)]).toEqual([0, 400]);
	await runRounds(9500);
	expect(countRepaid()).toBe(0);
	await runRounds(10_500);
	expect(countRepaid()).toBe(1);
});

// Guards against borrowing from an entry daemon after its restart for a request that was refused long before.
test('a pending loan request to an entry daemon that has left is dropped', async () => {
	const {
		holder, loans, runRounds, countBorrowCalls, setLender,
	} = createFixture();
	setLender({isResponding: false, isMember: true});
	await loans.borrow(budget, 100);
	await runRounds(1000);
	setLender({isResponding: false, isMember: false});
	await runRounds(2000);
	const callsBefore = countBorrowCalls();
	setLender({isResponding: true, isMember: true});
	await runRounds(3000);
	expect([countBorrowCalls() - callsBefore, holder.countFreeTokens(budget)]).toEqual([0, 0]);
});
