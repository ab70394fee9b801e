/**
 * The demo: runs a fleet of processes with stand-in upstreams, sends requests of
 * two customers, more than the smaller budget covers, and checks that the totals
 * agree.
 *
 * @module
 */
import process from 'node:process';
import {
	requestChat, bookSlot, fetchDocument, fleetKeys, startFleet, type CallerResponse, type TestFleet,
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

type CustomerResponses = {chats: CallerResponse[]; bookings: CallerResponse[]};
type Row = Record<string, string | number>;

const bookingCost = 50;
const roundCount = 60;
const bookingsPerCustomer = 12;

async function sendRequests(fleet: TestFleet): Promise<Map<string, CustomerResponses>> {
	const responsesByCustomer = new Map<string, CustomerResponses>();
	await Promise.all(customers.map(async customer => {
		const responses: CustomerResponses = {chats: [], bookings: []};
		responsesByCustomer.set(customer.name, responses);
		const pickEntry = (index: number) => fleet.entries[index % fleet.entries.length]!.process.ready.callers;
		for (let round = 0; round < roundCount; round++) {
			const batch = [0, 1, 2].map(async index => requestChat(pickEntry(round + index), {
				key: customer.key, content: `Question ${round} of ${customer.name}: answer 20`, maxTokens: 40, stream: index > 0,
			}));
			responses.chats.push(...await Promise.all(batch));
			if (round < bookingsPerCustomer) {
				const booking = `${customer.name}-${round}`;
				// The second request is a retry through the other entry daemon; it must not book again.
				responses.bookings.push(await bookSlot(pickEntry(round), {key: customer.key, booking, idempotencyKey: booking}));
				await bookSlot(pickEntry(round + 1), {key: customer.key, booking, idempotencyKey: booking});
			}
		}
	}));
	return responsesByCustomer;
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

// A streamed response does not contain its cost, so the check of billed tokens assumes at least one token for each
// complete response.
function countComplete(responses: readonly CallerResponse[]): number {
	return responses.filter(response => response.isWhole).length;
}

async function buildReport(fleet: TestFleet, responsesByCustomer: Map<string, CustomerResponses>): Promise<{rows: Row[]; faults: string[]}> {
	const executions = await countExecutions(fleet);
	const rows: Row[] = [];
	const faults: string[] = [];
	for (const customer of customers) {
		const responses = responsesByCustomer.get(customer.name)!;
		const budget = await fleet.readBudget(`${customer.name}-budget`);
		const all = [...responses.chats, ...responses.bookings];
		const served = all.filter(response => response.isWhole);
		const refused = all.filter(response => response.status === 429);
		const customerExecutions = [...executions].filter(([booking]) => booking.startsWith(customer.name));
		const booked = countComplete(responses.bookings);
		const executed = customerExecutions.reduce((sum, [, count]) => sum + count, 0);
		const firstTokenTimesMs = responses.chats.filter(response => response.isWhole).map(response => response.firstMs);
		rows.push({
			customer: customer.name, served: served.length, refused: refused.length, spent: budget.billed, bought: budget.bought,
			bookings: booked, executions: executed,
			firstP50: roundTo(pickPercentile(firstTokenTimesMs, 50), 0),
			firstP99: roundTo(pickPercentile(firstTokenTimesMs, 99), 0),
		});
		const checks: Array<[boolean, string]> = [
			[budget.billed <= budget.bought, 'spent more than was bought'],
			[served.length + refused.length === all.length, 'a response was neither complete nor refused'],
			[executed === booked && customerExecutions.every(([, count]) => count === 1), 'bookings and executions differ'],
			[refused.every(response => response.retryAfter !== undefined && response.problem?.ran === 'no'), 'a refusal lacks Retry-After or "ran": "no"'],
			[budget.billed >= (booked * bookingCost) + countComplete(responses.chats), 'a complete response was not billed'],
		];
		faults.push(...checks.filter(([isTrue]) => !isTrue).map(([, fault]) => `${customer.name}: ${fault}`));
	}

	const [, smallBudgetRow] = rows;
	if (smallBudgetRow?.refused === 0) {
		faults.push('no request was refused for the smaller budget');
	}

	return {rows, faults};
}

async function runDemo(shouldKeepRunning: boolean): Promise<void> {
	const fleet = await startFleet({entries: 2, engines: 2, bookings: 2});
	const stopRequested = new Promise<void>(resolve => {
		process.once('SIGINT', resolve);
		process.once('SIGTERM', resolve);
	});
	let isInterrupted = false;
	void stopRequested.then(() => { // eslint-disable-line promise/prefer-await-to-then
		isInterrupted = true;
	});
	try {
		await fleet.configure(customers);
		const responsesByCustomer = await Promise.race([sendRequests(fleet), stopRequested]);
		if (!responsesByCustomer) {
			process.stdout.write('Interrupted.\n');
			process.exitCode = 130;
			return;
		}

		await waitForReceipts(fleet);
		const {rows, faults} = await buildReport(fleet, responsesByCustomer);
		console.table(rows);
		for (const fault of faults) {
			process.stdout.write(`FAULT ${fault}\n`);
		}

		process.stdout.write(faults.length === 0 ? 'The sums agree.\n' : 'The sums do not agree.\n');
		process.exitCode = faults.length === 0 ? 0 : 1;
		if (shouldKeepRunning && !isInterrupted) {
			process.stdout.write(`${JSON.stringify({
				entries: fleet.entries.map(entry => entry.process.ready.callers),
				operators: fleet.entries.map(entry => entry.process.ready.operators),
				operatorKey: fleetKeys.operator,
				customers: customers.map(({name, key}) => ({name, key})),
				models: ['assistant'],
				services: ['bookings'],
			})}\n`);
			await stopRequested;
		}
	} finally {
		await fleet.stop();
	}
}

const runSelectedDemo = process.argv.includes('--platform') ? runPlatformDemo : async () => runDemo(process.argv.includes('--stay'));
await runSelectedDemo();
