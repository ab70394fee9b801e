import process from 'node:process';
import {expect, test} from 'vitest';
import {createVirtualTime} from '../../../tools/measure/virtual-clock.js';
import type {EventLog} from '../../protocol/mod.js';
import {createTokenAccount, type PeerView} from '../../state/mod.js';
import {createLoanReturns} from '../mod.js';

// Guards against the end of a gateway, or of its returns, because of one odd input.
test('an exception in a round of returns ends neither the process nor later rounds', async () => {
	const unhandled: unknown[] = [];
	const recordUnhandled = (error: unknown) => {
		unhandled.push(error);
	};

	const others = process.listeners('unhandledRejection');
	process.removeAllListeners('unhandledRejection');
	process.on('unhandledRejection', recordUnhandled);
	const time = createVirtualTime();
	const stopper = new AbortController();
	const lines: string[] = [];
	const events: EventLog = {
		write(name) {
			lines.push(name);
		},
		counts: new Map(),
	};
	const view: PeerView = {
		daemon: 'e2', incarnation: 'i', address: 'e2:1', free: [], uses: [], version: 1, isLeaving: false, hasRoom: true, crashes: [], parts: [], domains: [], limits: [],
	};
	const account = createTokenAccount();
	account.addBorrowed('c', 100);
	let calls = 0;
	const sent: number[] = [];
	const returns = createLoanReturns({
		self: {daemon: 'e1', incarnation: 'i'}, account, clock: time, events,
		listViews() {
			calls += 1;
			if (calls <= 2) {
				throw new TypeError('test');
			}

			return [view];
		},
		listOwners: () => ['e2'],
		computeReturned: account.countIdleLoans,
		onReceived: () => undefined,
		async sendRepayment(_, {amounts}) {
			sent.push(...amounts.map(({tokens}) => tokens));
			return true;
		},
	});
	try {
		const running = returns.run(stopper.signal);
		await time.runUntil(10_000);
		stopper.abort();
		await time.runUntil(12_000);
		await running;
		expect(unhandled).toEqual([]);
		expect(sent).toEqual([100]);
		expect(lines.filter(name => name === 'loanUnanswered').length).toBe(2);
	} finally {
		process.off('unhandledRejection', recordUnhandled);
		for (const listener of others) {
			process.on('unhandledRejection', listener);
		}
	}
});
