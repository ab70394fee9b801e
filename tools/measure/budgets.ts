/**
 * Compares grant policies with an oracle. In each scenario, all of them get the
 * same requests, generated from a fixed seed.
 *
 * @module
 */
import {
	AheadGrantPolicy, LogFirstGrantPolicy, SplitOnceGrantPolicy, type GrantPolicy,
} from '../../src/coordination/mod.js';
import {createBudgetFixture, type BudgetFixture, type SimulatedRequest} from './budget-fixture.js';
import {createRandom} from './random.js';
import {roundTo} from './report.js';
import {createVirtualTime} from './virtual-clock.js';

type PolicyName = 'log-first' | 'split-once' | 'chosen' | 'oracle';

type Scenario = {
	readonly name: string;
	readonly durationMs: number;
	/** Requests per second at a share of the duration. */
	readonly rate: (share: number) => number;
	/** Tokens bought. */
	readonly tokens: number;
	readonly weighs: 'refusals' | 'overspend';
	/** Index of the entry daemon that receives a request; -1 for any that runs. */
	readonly pickEntry?: (share: number) => number;
	/** Changes of the active faults; `atShare` is their time as a share of the duration. */
	readonly faults: ReadonlyArray<{readonly atShare: number; readonly apply: (fixture: BudgetFixture) => void}>;
};

type Arrival = SimulatedRequest & {readonly atMs: number; readonly entry: number; readonly share: number};

type Tally = {served: number; spent: number; falseRefusals: number; lockedTokenSeconds: number; appends: number; bytes: number; arrivals: number};

const entryCount = 4;
const seed = 20_261_202;
/** Simulated time after the last arrival, in which running requests end. */
const settleDurationMs = 15_000;
const ampleTokens = 100_000_000;

const scenarios: readonly Scenario[] = [
	{
		name: 'calm', durationMs: 60_000, rate: () => 8, tokens: ampleTokens, weighs: 'refusals', faults: [],
	},
	{
		name: 'cut-off', durationMs: 90_000, rate: () => 8, tokens: 400_000, weighs: 'refusals',
		faults: [
			{atShare: 0.1, apply: fixture => fixture.activeFaults.partitioned.add('e0')},
			{atShare: 0.8, apply: fixture => fixture.activeFaults.partitioned.delete('e0')},
		],
	},
	{
		name: 'log-down', durationMs: 90_000, rate: () => 8, tokens: 260_000, weighs: 'refusals', pickEntry: share => share < 0.7 ? 0 : -1,
		faults: [
			{
				atShare: 0.1, apply(fixture) {
					fixture.activeFaults.isLogDown = true;
				},
			},
			{
				atShare: 0.8, apply(fixture) {
					fixture.activeFaults.isLogDown = false;
				},
			},
		],
	},
	{
		name: 'holder-killed', durationMs: 60_000, rate: () => 8, tokens: 200_000, weighs: 'refusals',
		faults: [{
			atShare: 0.3, apply(fixture) {
				fixture.kill(0);
			},
		}],
	},
	{
		name: 'paused-holder', durationMs: 60_000, rate: () => 8, tokens: 200_000, weighs: 'refusals',
		faults: [
			{
				atShare: 0.2, apply(fixture) {
					fixture.setPaused(0, true);
				},
			},
			{
				atShare: 0.6, apply(fixture) {
					fixture.setPaused(0, false);
				},
			},
		],
	},
	{
		name: 'last-2-percent', durationMs: 40_000, rate: () => 8, tokens: 60_000, weighs: 'overspend', faults: [],
	},
	{
		name: 'lunch-peak', durationMs: 60_000, rate: share => share > 0.4 && share < 0.6 ? 40 : 3, tokens: 300_000, weighs: 'overspend', faults: [],
	},
	{
		name: 'night-trickle', durationMs: 120_000, rate: () => 0.5, tokens: 30_000, weighs: 'refusals',
		faults: [
			{
				atShare: 0.2, apply(fixture) {
					fixture.activeFaults.isLogDown = true;
				},
			},
			{
				atShare: 0.9, apply(fixture) {
					fixture.activeFaults.isLogDown = false;
				},
			},
		],
	},
];

function buildArrivals(scenario: Scenario): Arrival[] {
	const random = createRandom(seed);
	const arrivals: Arrival[] = [];
	for (let atMs = 0; atMs < scenario.durationMs;) {
		const share = atMs / scenario.durationMs;
		atMs += -Math.log(1 - random()) * 1000 / scenario.rate(share);
		const cost = Math.min(1000, Math.round(100 + (random() * 660)));
		arrivals.push({
			atMs, share, maxCost: 1000, cost, durationMs: 500 + (random() * 1500), timeoutMs: 2000, entry: scenario.pickEntry?.(share) ?? -1,
		});
		random();
	}

	return arrivals.filter(arrival => arrival.atMs < scenario.durationMs);
}

// The oracle knows the whole budget: it admits a request if its maximum cost fits into the free tokens. When a request
// ends, waiting requests are started in order of arrival.
async function simulateOracle(scenario: Scenario, arrivals: readonly Arrival[]): Promise<Tally> {
	const time = createVirtualTime();
	const tally = createTally(arrivals.length);
	let freeTokens = scenario.tokens;
	const waiting: Array<{maxCost: number; deadlineMs: number; start: () => void}> = [];

	function serveWaiting(): void {
		for (const next of waiting.splice(0)) {
			if (freeTokens < next.maxCost) {
				waiting.push(next);
			} else if (next.deadlineMs >= time.now()) {
				next.start();
			}
		}
	}

	async function run(request: Arrival): Promise<void> {
		freeTokens -= request.maxCost;
		await time.sleep(request.durationMs);
		freeTokens += request.maxCost - request.cost;
		tally.served += 1;
		tally.spent += request.cost;
		serveWaiting();
	}

	async function handleArrival(request: Arrival): Promise<void> {
		await time.sleep(request.atMs);
		if (freeTokens >= request.maxCost) {
			await run(request);
			return;
		}

		waiting.push({
			maxCost: request.maxCost,
			deadlineMs: time.now() + request.timeoutMs,
			start() {
				void run(request);
			},
		});
	}

	for (const request of arrivals) {
		void handleArrival(request);
	}

	await time.runUntil(scenario.durationMs + settleDurationMs);
	return tally;
}

function createTally(arrivals: number): Tally {
	return {
		served: 0, spent: 0, falseRefusals: 0, lockedTokenSeconds: 0, appends: 0, bytes: 0, arrivals,
	};
}

async function simulatePolicy(scenario: Scenario, arrivals: readonly Arrival[], {createPolicy, canLendAndReclaim}: {createPolicy: () => GrantPolicy; canLendAndReclaim: boolean}): Promise<Tally> {
	const fixture = await createBudgetFixture({
		entries: entryCount, tokens: scenario.tokens, weighs: scenario.weighs, createPolicy, canLendAndReclaim,
	});
	const tally = createTally(arrivals.length);
	const startMs = fixture.time.now();
	let reservedTokens = 0;
	const countsBefore = {...fixture.log.counts};

	// Like a load balancer, sends no request to an entry daemon that is killed or paused.
	function pickEntry(request: Arrival, index: number): number {
		const preferred = request.entry >= 0 ? request.entry : index % entryCount;
		const isUsable = (candidate: number) => !fixture.activeFaults.killed.has(`e${candidate}`) && !fixture.activeFaults.paused.has(`e${candidate}`);
		return isUsable(preferred) ? preferred : [0, 1, 2, 3].find(candidate => isUsable(candidate))!;
	}

	async function handleArrival(request: Arrival, index: number): Promise<void> {
		await fixture.time.sleep(request.atMs);
		reservedTokens += request.maxCost;
		const isServed = await fixture.serve(pickEntry(request, index), request);
		reservedTokens -= request.maxCost;
		if (isServed) {
			tally.served += 1;
			tally.spent += request.cost;
		} else if (scenario.tokens - tally.spent - reservedTokens >= request.maxCost) {
			tally.falseRefusals += 1;
		}
	}

	for (const fault of scenario.faults) {
		void applyFault(fixture, fault, scenario.durationMs);
	}

	for (const [index, request] of arrivals.entries()) {
		void handleArrival(request, index);
	}

	for (let elapsedMs = 1000; elapsedMs <= scenario.durationMs + settleDurationMs; elapsedMs += 1000) {
		await fixture.time.runUntil(startMs + elapsedMs);
		tally.lockedTokenSeconds += fixture.countLockedTokens();
	}

	tally.appends = fixture.log.counts.appends - countsBefore.appends;
	tally.bytes = fixture.log.counts.bytes - countsBefore.bytes;
	fixture.stop();
	return tally;
}

async function applyFault(fixture: BudgetFixture, fault: Scenario['faults'][number], durationMs: number): Promise<void> {
	await fixture.time.sleep(fault.atShare * durationMs);
	fault.apply(fixture);
}

const policies: ReadonlyArray<{readonly name: PolicyName; readonly createPolicy: () => GrantPolicy; readonly canLendAndReclaim: boolean}> = [
	{name: 'log-first', createPolicy: () => new LogFirstGrantPolicy(), canLendAndReclaim: false},
	{name: 'split-once', createPolicy: () => new SplitOnceGrantPolicy(), canLendAndReclaim: false},
	{name: 'chosen', createPolicy: () => new AheadGrantPolicy(), canLendAndReclaim: true},
];

function describeRow(scenario: Scenario, policy: PolicyName, {tally, oracle}: {tally: Tally; oracle: Tally}) {
	return {
		scenario: scenario.name,
		policy,
		overspendTokens: Math.max(0, tally.spent - scenario.tokens),
		servedShareOfOracle: roundTo(tally.served / Math.max(1, oracle.served), 4),
		falseRefusals: tally.falseRefusals,
		lockedTokenSeconds: Math.round(tally.lockedTokenSeconds),
		appendsPerRequest: roundTo(tally.appends / tally.arrivals, 3),
		bytesPerRequest: Math.round(tally.bytes / tally.arrivals),
	};
}

/**
 * Measures every grant policy, and the oracle, in every scenario.
 *
 * @example
 * ```ts
 * const {rows} = await measureBudgets();
 * ```
 *
 * @returns One row for each scenario and policy
 */
export async function measureBudgets() {
	const rows = [];
	for (const scenario of scenarios) {
		const arrivals = buildArrivals(scenario);
		const oracle = await simulateOracle(scenario, arrivals);
		for (const policy of policies) {
			rows.push(describeRow(scenario, policy.name, {tally: await simulatePolicy(scenario, arrivals, policy), oracle}));
		}

		rows.push(describeRow(scenario, 'oracle', {tally: oracle, oracle}));
	}

	return {rows};
}
