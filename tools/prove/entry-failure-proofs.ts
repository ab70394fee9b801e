/**
 * Proofs that the tokens held by a failed entry daemon become spendable again.
 *
 * @module
 */
import {setTimeout as wait} from 'node:timers/promises';
import {
	fetchDocument, waitUntil, type FleetDaemon, type TestFleet,
} from '../harness/mod.js';
import {
	startStream, city, configureCity, describeRefusals, getCallerUrl, readBudget, controlLog, spendUntilRefused, sumTokens, tryChat, waitForReceipts,
} from './scenario-steps.js';
import {
	fastSuspicion, refusalMeasure, replaceModule, spendPromise, type Proof, type ProofOutcome,
} from './proof.js';

/** Setup of proofs that kill the first of two entries; the guard is the reclaimer. */
const killedEntry: Pick<Proof, 'fleet' | 'unguardedModules'> = {
	fleet: {
		entries: 2, engines: 1, bookings: 0, settings: fastSuspicion,
	},
	unguardedModules: replaceModule('src/coordination/budgets/reclaimer', 'reclaimer-disabled'),
};

// Until the entry is suspected, refusals are correct: the tokens are held by a daemon that may still be alive.
async function waitUntilSuspected(fleet: TestFleet, daemon: string): Promise<void> {
	const {operators} = fleet.entries[1]!.process.ready;
	await waitUntil(async () => {
		const {hosts} = await fetchDocument<{hosts: Array<{daemon: string; isAlive: boolean}>}>(`${operators}/v1/hosts`);
		return hosts.every(host => host.daemon !== daemon || !host.isAlive);
	}, `the other entry suspects ${daemon}`);
}

// The entry that serves the first requests claims the budget ahead. It decides whether the killed entry holds grants or loans.
async function spendAfterKill(fleet: TestFleet, claimingEntry: number): Promise<ProofOutcome> {
	await configureCity(fleet, 4000);
	const before = await spendUntilRefused(getCallerUrl(fleet.entries[claimingEntry]), {maxRequests: 10});
	const streams = await Promise.all([1, 2, 3].map(async index => startStream(getCallerUrl(fleet.entries[0]), {content: `long ${index} answer 300`, maxTokens: 300})));
	await fleet.entries[0]!.process.kill();
	await Promise.all(streams.map(async ({outcome}) => outcome));
	await waitUntilSuspected(fleet, 'entry-1');
	const startedAt = performance.now();
	const after = await spendUntilRefused(getCallerUrl(fleet.entries[1]), {maxRequests: 200});
	const spentInMs = performance.now() - startedAt;
	await waitForReceipts(fleet);
	const budget = await fleet.readBudget(city.budget);
	const share = budget.billed / budget.bought;
	return {
		holds: budget.billed <= budget.bought && share >= 0.98,
		figures: {
			bought: budget.bought, billed: budget.billed, share: Number(share.toFixed(3)), answeredBefore: sumTokens(before), answeredAfter: sumTokens(after),
			spentInMs: Math.round(spentInMs), granted: budget.granted, locked: budget.locked, lastRefusal: after.at(-1)?.problem?.detail ?? '',
		},
	};
}

const killedHolder: Proof = {
	name: 'killed-holder',
	promise: refusalMeasure,
	scenario: `Callers are refused although half of their budget is unspent. An entry with grants and open streams is
killed. Its grants are not reclaimed, so the other entry finds no tokens to claim.`,
	isInCi: true,
	...killedEntry,
	run: async fleet => spendAfterKill(fleet, 0),
};

const killedBorrower: Proof = {
	name: 'killed-borrower',
	promise: refusalMeasure,
	scenario: `Callers are refused although a fifth of their budget is unspent. An entry that holds only loans is killed
with open streams. A peer that only reclaims the grants of failed entries never removes this one, and the lent tokens
stay locked in the grants of the lender.`,
	isInCi: true,
	...killedEntry,
	run: async fleet => spendAfterKill(fleet, 1),
};

async function readFreeTokens(entry: FleetDaemon): Promise<number> {
	const {freeHere} = await readBudget(entry, city.budget);
	return freeHere;
}

// Both entries claim ahead as soon as they know the budget, and the first one may claim all of it.
async function pickLender(fleet: TestFleet): Promise<{readonly lender: FleetDaemon; readonly borrower: FleetDaemon}> {
	const [first, second] = fleet.entries as [FleetDaemon, FleetDaemon];
	const {bought} = await readBudget(first, city.budget);
	await waitUntil(async () => await readFreeTokens(first) + await readFreeTokens(second) === bought, 'the entries hold the whole budget');
	return await readFreeTokens(first) >= await readFreeTokens(second) ? {lender: first, borrower: second} : {lender: second, borrower: first};
}

const killedLender: Proof = {
	name: 'killed-lender',
	promise: refusalMeasure,
	scenario: `A caller is told for half a minute that its budget is spent, although most of it is left. The entry that
holds the tokens has just been killed and still counts as alive. It does not answer the entry that wants to borrow,
which treats the missing answer as a lender without free tokens.`,
	isInCi: true,
	fleet: {
		entries: 2, engines: 1, bookings: 0, settings: fastSuspicion,
	},
	unguardedModules: replaceModule('src/coordination/budgets/loan-manager', 'loan-manager-without-incomplete-search'),
	async run(fleet) {
		await configureCity(fleet, 1000);
		const {lender, borrower} = await pickLender(fleet);
		const call = {content: 'answer 20', maxTokens: 300};
		// Reduces the borrower's own tokens until they no longer cover the call, so that it has to borrow.
		while (await readFreeTokens(borrower) >= call.maxTokens) {
			await tryChat(getCallerUrl(borrower), {...call, maxTokens: 20});
		}

		await lender.process.kill();
		const answer = await tryChat(getCallerUrl(borrower), call);
		const {bought, billed} = await readBudget(borrower, city.budget);
		return {
			holds: Boolean(answer?.isWhole),
			figures: {
				bought, billed, isWhole: Boolean(answer?.isWhole), ms: Math.round(answer?.totalMs ?? 0), refusals: describeRefusals([answer]),
			},
		};
	},
};

const logDownAndHolderKilled: Proof = {
	name: 'log-down-and-holder-killed',
	promise: spendPromise,
	scenario: `The log is down, and an entry that holds half of the budget is killed. Its share stays locked until the log is
back. Then the share must return completely and only once: every token must be spendable, and none twice.`,
	isInCi: false,
	...killedEntry,
	async run(fleet) {
		await configureCity(fleet, 4000);
		const before = await spendUntilRefused(getCallerUrl(fleet.entries[0]), {maxRequests: 10});
		await controlLog(fleet, {isDown: true});
		await fleet.entries[0]!.process.kill();
		const during = await spendUntilRefused(getCallerUrl(fleet.entries[1]), {maxRequests: 200, deadline: '2s'});
		await controlLog(fleet, {isDown: false});
		await wait(4000);
		const after = await spendUntilRefused(getCallerUrl(fleet.entries[1]), {maxRequests: 200});
		await waitForReceipts(fleet);
		const budget = await fleet.readBudget(city.budget);
		const answered = sumTokens([...before, ...during, ...after]);
		return {
			holds: budget.billed <= budget.bought && answered <= budget.bought && budget.billed >= 0.98 * budget.bought,
			figures: {
				bought: budget.bought, billed: budget.billed, answered, duringOutage: sumTokens(during),
			},
		};
	},
};

/** Proofs of killed entry daemons. */
export const entryFailureProofs: readonly Proof[] = [killedHolder, killedBorrower, killedLender, logDownAndHolderKilled];
