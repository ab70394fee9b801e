/**
 * The demo: a fleet of processes before stand-ins, two customers, one budget
 * spent to its end, and a table whose sums must agree.
 *
 * @module
 */
import process from 'node:process';
import {
	askChat, bookSlot, fetchDocument, fleetKeys, startFleet, type CallerAnswer, type TestFleet,
} from '../harness/mod.js';
import {runPlatformDemo} from '../../platform/demo.js';
import {pickPercentile, roundTo} from '../measure/report.js';

const customers = [
	{
		name: 'abrigo', key: 'abrigo-demo-key', tokens: 200_000, weighs: 'refusals' as const,
	},
	{
		name: 'valpadana', key: 'valpadana-demo-key', tokens: 6000, weighs: 'overspend' as const,
	},
];

type Tally = {answers: CallerAnswer[]; bookings: CallerAnswer[]};
type Row = Record<string, string | number>;

const bookingCost = 50;
const rounds = 60;
const bookingsEach = 12;

async function callAll(fleet: TestFleet): Promise<Map<string, Tally>> {
	const tallies = new Map<string, Tally>();
	await Promise.all(customers.map(async customer => {
		const tally: Tally = {answers: [], bookings: []};
		tallies.set(customer.name, tally);
		const pickEntry = (index: number) => fleet.entries[index % fleet.entries.length]!.process.ready.callers;
		for (let round = 0; round < rounds; round++) {
			const batch = [0, 1, 2].map(async index => askChat(pickEntry(round + index), {
				key: customer.key, content: `Question ${round} of ${customer.name}: answer 20`, maxTokens: 40, stream: index > 0,
			}));
			tally.answers.push(...await Promise.all(batch));
			if (round < bookingsEach) {
				const booking = `${customer.name}-${round}`;
				// The second call is the caller's retry through the other entry; it must not book again.
				tally.bookings.push(await bookSlot(pickEntry(round), {key: customer.key, booking, idempotencyKey: booking}));
				await bookSlot(pickEntry(round + 1), {key: customer.key, booking, idempotencyKey: booking});
			}
		}
	}));
	return tallies;
}

async function countExecutions(fleet: TestFleet): Promise<Map<string, number>> {
	const counts = new Map<string, number>();
	const services = fleet.upstreams.filter(upstream => upstream.id.startsWith('up-service'));
	for (const upstream of services) {
		const {executions} = await fetchDocument<{executions: Array<{booking: string}>}>(`${upstream.standIn.ready.url}/executions`);
		for (const {booking} of executions) {
			counts.set(booking, (counts.get(booking) ?? 0) + 1);
		}
	}

	return counts;
}

async function waitForReceipts(fleet: TestFleet): Promise<void> {
	for (;;) {
		const urls = fleet.upstreams.map(upstream => `${upstream.process.ready.operators}/v1/status`);
		const statuses = await Promise.all(urls.map(async url => fetchDocument<{figures: {receiptsWaiting: number; running: number}}>(url)));
		if (statuses.every(({figures}) => figures.receiptsWaiting === 0 && figures.running === 0)) {
			return;
		}

		await new Promise(resolve => {
			setTimeout(resolve, 100);
		});
	}
}

// Streamed answers do not tell the caller their cost, so a bill is checked against one token for each whole answer.
function countWhole(answers: readonly CallerAnswer[]): number {
	return answers.filter(answer => answer.isWhole).length;
}

async function buildRows(fleet: TestFleet, tallies: Map<string, Tally>): Promise<{rows: Row[]; faults: string[]}> {
	const executions = await countExecutions(fleet);
	const rows: Row[] = [];
	const faults: string[] = [];
	for (const customer of customers) {
		const tally = tallies.get(customer.name)!;
		const budget = await fleet.findBudget(`${customer.name}-budget`);
		const all = [...tally.answers, ...tally.bookings];
		const served = all.filter(answer => answer.isWhole);
		const refused = all.filter(answer => answer.status === 429);
		const mine = [...executions].filter(([booking]) => booking.startsWith(customer.name));
		const booked = countWhole(tally.bookings);
		const executed = mine.reduce((sum, [, count]) => sum + count, 0);
		const spans = tally.answers.filter(answer => answer.isWhole).map(answer => answer.firstMs);
		rows.push({
			customer: customer.name, served: served.length, refused: refused.length, spent: budget.billed, bought: budget.bought,
			bookings: booked, executions: executed,
			firstP50: roundTo(pickPercentile(spans, 50), 0),
			firstP99: roundTo(pickPercentile(spans, 99), 0),
		});
		const expectations: Array<[boolean, string]> = [
			[budget.billed <= budget.bought, 'spent more than was bought'],
			[served.length + refused.length === all.length, 'an answer was neither whole nor refused'],
			[executed === booked && mine.every(([, count]) => count === 1), 'bookings and executions differ'],
			[refused.every(answer => answer.retryAfter !== undefined && answer.problem?.ran === 'no'), 'a refusal lacks Retry-After or ran'],
			[budget.billed >= (booked * bookingCost) + countWhole(tally.answers), 'an answer was not billed'],
		];
		faults.push(...expectations.filter(([holds]) => !holds).map(([, fault]) => `${customer.name}: ${fault}`));
	}

	const [, small] = rows;
	if (small?.refused === 0) {
		faults.push('the small budget was not spent to its end');
	}

	return {rows, faults};
}

async function runDemo(isStaying: boolean): Promise<void> {
	const fleet = await startFleet({entries: 2, engines: 2, bookings: 2});
	const stopped = new Promise<void>(resolve => {
		process.once('SIGINT', resolve);
		process.once('SIGTERM', resolve);
	});
	let isInterrupted = false;
	void stopped.then(() => { // eslint-disable-line promise/prefer-await-to-then
		isInterrupted = true;
	});
	try {
		await fleet.configure(customers);
		const tallies = await Promise.race([callAll(fleet), stopped]);
		if (!tallies) {
			process.stdout.write('Interrupted.\n');
			process.exitCode = 130;
			return;
		}

		await waitForReceipts(fleet);
		const {rows, faults} = await buildRows(fleet, tallies);
		console.table(rows);
		for (const fault of faults) {
			process.stdout.write(`FAULT ${fault}\n`);
		}

		process.stdout.write(faults.length === 0 ? 'The sums agree.\n' : 'The sums do not agree.\n');
		process.exitCode = faults.length === 0 ? 0 : 1;
		if (isStaying && !isInterrupted) {
			process.stdout.write(`${JSON.stringify({
				entries: fleet.entries.map(entry => entry.process.ready.callers),
				operators: fleet.entries.map(entry => entry.process.ready.operators),
				operatorKey: fleetKeys.operator,
				customers: customers.map(({name, key}) => ({name, key})),
				models: ['assistant'],
				services: ['bookings'],
			})}\n`);
			await stopped;
		}
	} finally {
		await fleet.stop();
	}
}

const playDemo = process.argv.includes('--platform') ? runPlatformDemo : async () => runDemo(process.argv.includes('--stay'));
await playDemo();
