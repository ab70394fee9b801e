import {expect, test} from 'vitest';
import {createVirtualTime} from '../../../tools/measure/virtual-clock.js';
import type {EventLog} from '../../protocol/mod.js';
import {createTokenAccount} from '../../state/mod.js';
import {createLoanCalls} from './loan-calls.js';
import type {Lender, RequestLoan} from './token-loan.js';

const customer = 'c1';
const events: EventLog = {write: () => undefined, counts: new Map()};
const ask = {
	customer, needed: 100, wanted: 100, mayClaim: true,
};
const first: Lender = {daemon: 'e2', incarnation: 'i1', address: 'e2:1'};
const second: Lender = {daemon: 'e2', incarnation: 'i2', address: 'e2:2'};

function createCalls(requestLoan: RequestLoan) {
	const time = createVirtualTime();
	const account = createTokenAccount();
	const lenders = [first];
	const calls = createLoanCalls({
		daemon: 'e1', incarnation: 'b1', account, listLenders: () => lenders, onCredited: () => undefined, requestLoan, clock: time, events,
	});
	return {
		time, account, lenders, calls,
	};
}

test('a lender that had restarted before gossip showed it delivers the tokens of a lost reply', async () => {
	// Guards against tokens that the next incarnation has deducted for a call addressed to the last one that was heard, and
	// that are never polled for.
	const asked: Array<[address: string, loan: string]> = [];
	const {account, calls, lenders} = createCalls(async (address, {loan}) => {
		asked.push([address, loan]);
		if (asked.length === 1) {
			throw new Error('The reply was lost');
		}

		return {
			tokens: 100, isClaiming: true, incarnation: 'i2', total: 100,
		};
	});
	await calls.open(first, ask).reply;
	lenders[0] = second;
	calls.pollOpenLoans();
	await new Promise(resolve => {
		setImmediate(resolve);
	});
	expect(account.countFreeTokens(customer)).toBe(100);
	expect(asked).toEqual([['e2:1', asked[0]![1]], ['e2:2', asked[0]![1]]]);
	calls.pollOpenLoans();
	expect(asked).toHaveLength(2);
});

test('a lender that was out of reach for minutes counts with the time that a call lasts', async () => {
	// Guards against watermarks and hedge delays that stay at their limits for dozens of loans after a partition.
	let isUp = false;
	const {time, calls} = createCalls(async () => {
		if (!isUp) {
			throw new Error('The gateway does not answer');
		}

		return {
			tokens: 0, isClaiming: true, incarnation: 'i1', total: 0,
		};
	});
	await calls.open(first, ask).reply;
	await time.runUntil(600_000);
	isUp = true;
	calls.pollOpenLoans();
	await new Promise(resolve => {
		setImmediate(resolve);
	});
	expect(calls.getDurationMs()).toBe(5000);
});

test('a call to a lender that is out of reach is not on its way for longer than a slow reply takes', async () => {
	// Guards against small requests that are held back for seconds by a large one while tokens for them are free.
	const {time, calls} = createCalls(async () => new Promise(() => undefined)); // eslint-disable-line no-promise-executor-return
	calls.open(first, ask);
	expect(calls.countInFlight(customer)).toBe(100);
	await time.runUntil(1400);
	expect(calls.countInFlight(customer)).toBe(100);
	await time.runUntil(1600);
	expect(calls.countInFlight(customer)).toBe(0);
	expect(calls.hasOpen(customer)).toBe(true);
});
