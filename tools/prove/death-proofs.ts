/**
 * Proofs that what a dead entry held comes back.
 *
 * @module
 */
import {setTimeout as wait} from 'node:timers/promises';
import {
	fetchDocument, waitUntil, type FleetDaemon, type TestFleet,
} from '../harness/mod.js';
import {
	beginStream, city, configureCity, describeRefusals, listen, readBudget, setLog, spendUntilRefused, sumTokens, tryChat, waitForReceipts,
} from './count.js';
import {
	quick, refusalMeasure, replaceModule, spendPromise, type Proof, type ProofOutcome,
} from './proof.js';

/** Two entries of which the first dies, with the reclaimer as the guard. */
const twoEntries: Pick<Proof, 'fleet' | 'withoutGuard'> = {
	fleet: {
		entries: 2, engines: 1, bookings: 0, settings: quick,
	},
	withoutGuard: replaceModule('src/coordination/reclaimer', 'reclaimer-that-rests'),
};

// Until then a refusal is honest: the tokens are held by a daemon that may live.
async function waitUntilSuspected(fleet: TestFleet, daemon: string): Promise<void> {
	const {operators} = fleet.entries[1]!.process.ready;
	await waitUntil(async () => {
		const {hosts} = await fetchDocument<{hosts: Array<{daemon: string; isAlive: boolean}>}>(`${operators}/v1/hosts`);
		return hosts.every(host => host.daemon !== daemon || !host.isAlive);
	}, `the other entry suspects ${daemon}`);
}

// One entry claims the budget ahead; which one decides whether the one that dies holds grants of its own or loans.
async function spendAfterDeath(fleet: TestFleet, firstToClaim: number): Promise<ProofOutcome> {
	await configureCity(fleet, 4000);
	const before = await spendUntilRefused(listen(fleet.entries[firstToClaim]), {limit: 10});
	const streams = await Promise.all([1, 2, 3].map(async index => beginStream(listen(fleet.entries[0]), {content: `long ${index} answer 300`, maxTokens: 300})));
	await fleet.entries[0]!.process.kill();
	await Promise.all(streams.map(async ({outcome}) => outcome));
	await waitUntilSuspected(fleet, 'entry-1');
	const startedAt = performance.now();
	const after = await spendUntilRefused(listen(fleet.entries[1]), {limit: 200});
	const spentIn = performance.now() - startedAt;
	await waitForReceipts(fleet);
	const budget = await fleet.findBudget(city.budget);
	const share = budget.billed / budget.bought;
	return {
		holds: budget.billed <= budget.bought && share >= 0.98,
		figures: {
			bought: budget.bought, billed: budget.billed, share: Number(share.toFixed(3)), answeredBefore: sumTokens(before), answeredAfter: sumTokens(after),
			spentInMs: Math.round(spentIn), granted: budget.granted, locked: budget.locked, lastRefusal: after.at(-1)?.problem?.detail ?? '',
		},
	};
}

const killedHolder: Proof = {
	name: 'killed-holder',
	promise: refusalMeasure,
	story: `Callers are refused though their budget is half unspent. An entry dies with grants and open streams; nobody
takes its grants back, and the other entry finds nothing to claim.`,
	isInCi: true,
	...twoEntries,
	run: async fleet => spendAfterDeath(fleet, 0),
};

const killedBorrower: Proof = {
	name: 'killed-borrower',
	promise: refusalMeasure,
	story: `Callers are refused though a fifth of their budget is unspent. An entry that holds nothing but loans dies with
open streams. Whoever takes back only grants of the dead never ends it, and the loans stay locked in the lender's grants.`,
	isInCi: true,
	...twoEntries,
	run: async fleet => spendAfterDeath(fleet, 1),
};

async function countFreeAt(entry: FleetDaemon): Promise<number> {
	const {freeHere} = await readBudget(entry, city.budget);
	return freeHere;
}

// Both claim ahead as soon as they know the budget; the one that is first may have all of it.
async function pickLender(fleet: TestFleet): Promise<{readonly lender: FleetDaemon; readonly borrower: FleetDaemon}> {
	const [first, second] = fleet.entries as [FleetDaemon, FleetDaemon];
	const {bought} = await readBudget(first, city.budget);
	await waitUntil(async () => await countFreeAt(first) + await countFreeAt(second) === bought, 'the entries hold the whole budget');
	return await countFreeAt(first) >= await countFreeAt(second) ? {lender: first, borrower: second} : {lender: second, borrower: first};
}

const killedLender: Proof = {
	name: 'killed-lender',
	promise: refusalMeasure,
	story: `A caller is told that its budget is spent, half a minute long, though most of it is left. The entry that holds
it has died a moment ago and counts as alive; it does not answer the one that wants to borrow, which takes that for a no.`,
	isInCi: true,
	fleet: {
		entries: 2, engines: 1, bookings: 0, settings: quick,
	},
	withoutGuard: replaceModule('src/coordination/loan-manager', 'desk-that-takes-silence-for-no'),
	async run(fleet) {
		await configureCity(fleet, 1000);
		const {lender, borrower} = await pickLender(fleet);
		const call = {content: 'answer 20', maxTokens: 300};
		// Its own share must not cover the call.
		while (await countFreeAt(borrower) >= call.maxTokens) {
			await tryChat(listen(borrower), {...call, maxTokens: 20});
		}

		await lender.process.kill();
		const answer = await tryChat(listen(borrower), call);
		const {bought, billed} = await readBudget(borrower, city.budget);
		return {
			holds: Boolean(answer?.isWhole),
			figures: {
				bought, billed, isWhole: Boolean(answer?.isWhole), ms: Math.round(answer?.totalMs ?? 0), refusals: describeRefusals([answer]),
			},
		};
	},
};

const logDownHolderKilled: Proof = {
	name: 'log-down-and-holder-killed',
	promise: spendPromise,
	story: `The log is down and an entry dies with half of the budget. Until the log is back its share stays locked; then
it must return, whole and once, and every token must be spendable but none twice.`,
	isInCi: false,
	...twoEntries,
	async run(fleet) {
		await configureCity(fleet, 4000);
		const before = await spendUntilRefused(listen(fleet.entries[0]), {limit: 10});
		await setLog(fleet, {isDown: true});
		await fleet.entries[0]!.process.kill();
		const during = await spendUntilRefused(listen(fleet.entries[1]), {limit: 200, deadline: '2s'});
		await setLog(fleet, {isDown: false});
		await wait(4000);
		const after = await spendUntilRefused(listen(fleet.entries[1]), {limit: 200});
		await waitForReceipts(fleet);
		const budget = await fleet.findBudget(city.budget);
		const answered = sumTokens([...before, ...during, ...after]);
		return {
			holds: budget.billed <= budget.bought && answered <= budget.bought && budget.billed >= 0.98 * budget.bought,
			figures: {
				bought: budget.bought, billed: budget.billed, answered, duringOutage: sumTokens(during),
			},
		};
	},
};

/** Proofs of entries that die. */
export const deathProofs: readonly Proof[] = [killedHolder, killedBorrower, killedLender, logDownHolderKilled];
