/**
 * Grant policies against an oracle, on the same calls and seed.
 *
 * @module
 */
import {
	AheadGrantPolicy, LogFirstGrantPolicy, SplitOnceGrantPolicy, type GrantPolicy,
} from '../../src/coordination/mod.js';
import {createBudgetWorld, type BudgetWorld, type MeasuredCall} from './budget-world.js';
import {createRandom} from './random.js';
import {roundTo} from './report.js';
import {createVirtualTime} from './virtual-clock.js';

type PolicyName = 'log-first' | 'split-once' | 'chosen' | 'oracle';

type Scenario = {
	readonly name: string;
	/** Milliseconds. */
	readonly span: number;
	/** Calls a second at an instant, as a share of the span. */
	readonly rate: (share: number) => number;
	/** Tokens bought. */
	readonly tokens: number;
	readonly weighs: 'refusals' | 'overspend';
	/** Entry that a call arrives at; -1 for any that is alive. */
	readonly place?: (share: number) => number;
	/** What happens, by share of the span. */
	readonly faults: ReadonlyArray<{readonly at: number; readonly act: (world: BudgetWorld) => void}>;
};

type Arrival = MeasuredCall & {readonly at: number; readonly entry: number; readonly share: number};

type Tally = {served: number; spent: number; falseRefusals: number; locked: number; appends: number; bytes: number; arrivals: number};

const entryCount = 4;
const seed = 20_261_202;
const settleSpan = 15_000;
const ample = 100_000_000;

const scenarios: readonly Scenario[] = [
	{
		name: 'calm', span: 60_000, rate: () => 8, tokens: ample, weighs: 'refusals', faults: [],
	},
	{
		name: 'cut-off', span: 90_000, rate: () => 8, tokens: 400_000, weighs: 'refusals',
		faults: [
			{at: 0.1, act: world => world.links.cut.add('e0')},
			{at: 0.8, act: world => world.links.cut.delete('e0')},
		],
	},
	{
		name: 'log-down', span: 90_000, rate: () => 8, tokens: 260_000, weighs: 'refusals', place: share => share < 0.7 ? 0 : -1,
		faults: [
			{
				at: 0.1, act(world) {
					world.links.isLogDown = true;
				},
			},
			{
				at: 0.8, act(world) {
					world.links.isLogDown = false;
				},
			},
		],
	},
	{
		name: 'holder-killed', span: 60_000, rate: () => 8, tokens: 200_000, weighs: 'refusals',
		faults: [{
			at: 0.3, act(world) {
				world.kill(0);
			},
		}],
	},
	{
		name: 'paused-holder', span: 60_000, rate: () => 8, tokens: 200_000, weighs: 'refusals',
		faults: [
			{
				at: 0.2, act(world) {
					world.setPaused(0, true);
				},
			},
			{
				at: 0.6, act(world) {
					world.setPaused(0, false);
				},
			},
		],
	},
	{
		name: 'last-2-percent', span: 40_000, rate: () => 8, tokens: 60_000, weighs: 'overspend', faults: [],
	},
	{
		name: 'lunch-peak', span: 60_000, rate: share => share > 0.4 && share < 0.6 ? 40 : 3, tokens: 300_000, weighs: 'overspend', faults: [],
	},
	{
		name: 'night-trickle', span: 120_000, rate: () => 0.5, tokens: 30_000, weighs: 'refusals',
		faults: [
			{
				at: 0.2, act(world) {
					world.links.isLogDown = true;
				},
			},
			{
				at: 0.9, act(world) {
					world.links.isLogDown = false;
				},
			},
		],
	},
];

function buildArrivals(scenario: Scenario): Arrival[] {
	const random = createRandom(seed);
	const arrivals: Arrival[] = [];
	for (let at = 0; at < scenario.span;) {
		const share = at / scenario.span;
		at += -Math.log(1 - random()) * 1000 / scenario.rate(share);
		const cost = Math.min(1000, Math.round(100 + (random() * 660)));
		arrivals.push({
			at, share, worst: 1000, cost, span: 500 + (random() * 1500), patience: 2000, entry: scenario.place?.(share) ?? -1,
		});
		random();
	}

	return arrivals.filter(arrival => arrival.at < scenario.span);
}

// The oracle sees the whole budget at once: it admits whenever the worst case fits, and serves waiting calls first.
async function playOracle(scenario: Scenario, arrivals: readonly Arrival[]): Promise<Tally> {
	const time = createVirtualTime();
	const tally = createTally(arrivals.length);
	let free = scenario.tokens;
	const waiting: Array<{worst: number; until: number; start: () => void}> = [];

	function serveWaiting(): void {
		for (const next of waiting.splice(0)) {
			if (free < next.worst) {
				waiting.push(next);
			} else if (next.until >= time.now()) {
				next.start();
			}
		}
	}

	async function run(call: Arrival): Promise<void> {
		free -= call.worst;
		await time.sleep(call.span);
		free += call.worst - call.cost;
		tally.served += 1;
		tally.spent += call.cost;
		serveWaiting();
	}

	async function arrive(call: Arrival): Promise<void> {
		await time.sleep(call.at);
		if (free >= call.worst) {
			await run(call);
			return;
		}

		waiting.push({
			worst: call.worst,
			until: time.now() + call.patience,
			start() {
				void run(call);
			},
		});
	}

	for (const call of arrivals) {
		void arrive(call);
	}

	await time.runUntil(scenario.span + settleSpan);
	return tally;
}

function createTally(arrivals: number): Tally {
	return {
		served: 0, spent: 0, falseRefusals: 0, locked: 0, appends: 0, bytes: 0, arrivals,
	};
}

async function playPolicy(scenario: Scenario, arrivals: readonly Arrival[], {createPolicy, cooperates}: {createPolicy: () => GrantPolicy; cooperates: boolean}): Promise<Tally> {
	const world = await createBudgetWorld({
		entries: entryCount, tokens: scenario.tokens, weighs: scenario.weighs, createPolicy, cooperates,
	});
	const tally = createTally(arrivals.length);
	const start = world.time.now();
	let reserved = 0;
	const before = {...world.log.counts};

	// The balancer sends nobody to an entry that is dead or paused.
	function pickEntry(call: Arrival, index: number): number {
		const wanted = call.entry >= 0 ? call.entry : index % entryCount;
		const usable = (candidate: number) => !world.links.dead.has(`e${candidate}`) && !world.links.paused.has(`e${candidate}`);
		return usable(wanted) ? wanted : [0, 1, 2, 3].find(candidate => usable(candidate))!;
	}

	async function arrive(call: Arrival, index: number): Promise<void> {
		await world.time.sleep(call.at);
		reserved += call.worst;
		const isServed = await world.serve(pickEntry(call, index), call);
		reserved -= call.worst;
		if (isServed) {
			tally.served += 1;
			tally.spent += call.cost;
		} else if (scenario.tokens - tally.spent - reserved >= call.worst) {
			tally.falseRefusals += 1;
		}
	}

	for (const fault of scenario.faults) {
		void applyFault(world, fault, scenario.span);
	}

	for (const [index, call] of arrivals.entries()) {
		void arrive(call, index);
	}

	for (let at = 1000; at <= scenario.span + settleSpan; at += 1000) {
		await world.time.runUntil(start + at);
		tally.locked += world.countLocked();
	}

	tally.appends = world.log.counts.appends - before.appends;
	tally.bytes = world.log.counts.bytes - before.bytes;
	world.stop();
	return tally;
}

async function applyFault(world: BudgetWorld, fault: Scenario['faults'][number], span: number): Promise<void> {
	await world.time.sleep(fault.at * span);
	fault.act(world);
}

const policies: ReadonlyArray<{readonly name: PolicyName; readonly createPolicy: () => GrantPolicy; readonly cooperates: boolean}> = [
	{name: 'log-first', createPolicy: () => new LogFirstGrantPolicy(), cooperates: false},
	{name: 'split-once', createPolicy: () => new SplitOnceGrantPolicy(), cooperates: false},
	{name: 'chosen', createPolicy: () => new AheadGrantPolicy(), cooperates: true},
];

function describeRow(scenario: Scenario, policy: PolicyName, {tally, oracle}: {tally: Tally; oracle: Tally}) {
	return {
		scenario: scenario.name,
		policy,
		overspendTokens: Math.max(0, tally.spent - scenario.tokens),
		servedShareOfOracle: roundTo(tally.served / Math.max(1, oracle.served), 4),
		falseRefusals: tally.falseRefusals,
		lockedTokenSeconds: Math.round(tally.locked),
		appendsPerRequest: roundTo(tally.appends / tally.arrivals, 3),
		bytesPerRequest: Math.round(tally.bytes / tally.arrivals),
	};
}

/**
 * Measures grant policies.
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
		const oracle = await playOracle(scenario, arrivals);
		for (const policy of policies) {
			rows.push(describeRow(scenario, policy.name, {tally: await playPolicy(scenario, arrivals, policy), oracle}));
		}

		rows.push(describeRow(scenario, 'oracle', {tally: oracle, oracle}));
	}

	return {rows};
}
