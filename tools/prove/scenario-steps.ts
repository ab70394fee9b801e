/**
 * Steps that several scenarios share: configuring the fleet, sending requests, and
 * reading the counts of the stand-ins and the state of the daemons.
 *
 * @module
 */
import {setTimeout as wait} from 'node:timers/promises';
import {
	requestChat, fetchDocument, waitUntil, type RequestChatOptions, type BudgetAmounts, type CallerResponse, type FleetDaemon, type TestFleet,
} from '../harness/mod.js';

/** The customer that most proofs use. */
export const city = {name: 'city', key: 'city-key', budget: 'city-budget'} as const;

const defaultBudgetTokens = 1_000_000;

/** Configures the customer `city` with a budget that is ample by default. */
export async function configureCity(fleet: TestFleet, tokens = defaultBudgetTokens): Promise<void> {
	await fleet.configure([{name: city.name, key: city.key, tokens}]);
}

/** Counts that the engines keep. */
export type EngineCounts = Readonly<Record<'runs' | 'tokens' | 'cancelled' | 'resumed' | 'repeats' | 'cacheHits', number>>;

/** Sums the counts of all engines. */
export async function sumEngineCounts(fleet: TestFleet): Promise<EngineCounts> {
	const total: Record<string, number> = {};
	for (const upstream of fleet.upstreams.filter(item => item.id.startsWith('up-model'))) {
		const counts = await fetchDocument<Record<string, number>>(`${upstream.standIn.ready.url}/counts`);
		for (const [name, count] of Object.entries(counts)) {
			total[name] = (total[name] ?? 0) + count;
		}
	}

	return total as EngineCounts;
}

/** Reads the amounts of a budget from one entry daemon. */
export async function readBudget(entry: FleetDaemon, budget: string): Promise<BudgetAmounts> {
	return fetchDocument<BudgetAmounts>(`${entry.process.ready.operators}/v1/budgets/${budget}`);
}

/** Counts the executions of each booking in the records of the booking services. */
export async function countBookings(fleet: TestFleet): Promise<Map<string, number>> {
	const counts = new Map<string, number>();
	for (const upstream of fleet.upstreams.filter(item => item.id.startsWith('up-service'))) {
		const {executions} = await fetchDocument<{executions: Array<{booking: string}>}>(`${upstream.standIn.ready.url}/executions`);
		for (const {booking} of executions) {
			counts.set(booking, (counts.get(booking) ?? 0) + 1);
		}
	}

	return counts;
}

/** Returns the caller URL of an entry daemon. */
export function getCallerUrl(entry: FleetDaemon | undefined): string {
	return entry!.process.ready.callers;
}

/** Sets simulated faults of the log service. */
export async function controlLog(fleet: TestFleet, control: Record<string, unknown>): Promise<void> {
	await fetchDocument(`${fleet.log.ready.url}/control`, control);
}

/** Reads a daemon's status. */
export async function readStatus(daemon: FleetDaemon) {
	return fetchDocument<{isReady: boolean; version: number; figures: Record<string, number>; events: Record<string, number>}>(`${daemon.process.ready.operators}/v1/status`);
}

/** Waits until the receipts of the daemons are recorded in the log and every entry has folded them. */
export async function waitForReceipts(fleet: TestFleet): Promise<void> {
	await waitUntil(async () => {
		const live = fleet.upstreams.filter(upstream => !upstream.process.hasExited());
		const statuses = await Promise.all(live.map(async upstream => readStatus(upstream)));
		return statuses.every(({figures}) => figures.receiptsWaiting === 0 && figures.running === 0);
	}, 'all receipts are recorded in the log');
	await wait(300);
}

/** Requests a chat completion as `city`; returns `undefined` if the connection fails. */
export async function tryChat(url: string, options: Omit<RequestChatOptions, 'key'>): Promise<CallerResponse | undefined> {
	try {
		return await requestChat(url, {key: city.key, ...options});
	} catch {
		return undefined;
	}
}

/** Starts a stream and waits for its first chunk; returns a promise of the outcome. */
export async function startStream(url: string, options: Omit<RequestChatOptions, 'key'>): Promise<{readonly outcome: Promise<CallerResponse | undefined>}> {
	let reportFirstChunk: () => void = () => undefined;
	const firstChunkReceived = new Promise<void>(resolve => {
		reportFirstChunk = resolve;
	});
	const outcome = tryChat(url, {...options, stream: true, onFirstChunk: reportFirstChunk});
	await firstChunkReceived;
	return {outcome};
}

/** Options of {@linkcode spendUntilRefused}. */
export type SpendOptions = {
	/** Maximum number of requests. */
	readonly maxRequests: number;
	/** Number of consecutive refusals after which to stop; default 2. */
	readonly maxRefusals?: number;
	readonly content?: string;
	readonly maxTokens?: number;
	readonly deadline?: string;
};

/** Sends requests one after the other until they are refused; returns the answers. */
export async function spendUntilRefused(url: string, options: SpendOptions): Promise<CallerResponse[]> {
	const answers: CallerResponse[] = [];
	let consecutiveRefusals = 0;
	while (answers.length < options.maxRequests && consecutiveRefusals < (options.maxRefusals ?? 2)) {
		const answer = await tryChat(url, {content: options.content ?? 'answer 20', maxTokens: options.maxTokens ?? 20, deadline: options.deadline ?? '8s'});
		if (answer) {
			answers.push(answer);
		}

		consecutiveRefusals = answer?.isWhole ? 0 : consecutiveRefusals + 1;
	}

	return answers;
}

/** Lists the refusals among the answers with status and reason. */
export function describeRefusals(answers: ReadonlyArray<CallerResponse | undefined>): string {
	const refusals = answers.filter(answer => !answer?.isWhole);
	return refusals.map(answer => answer ? `${answer.status} ${answer.problem?.detail ?? ''}` : 'connection failed').join('; ');
}

/** Sums the tokens that complete answers report as used. */
export function sumTokens(answers: ReadonlyArray<CallerResponse | undefined>): number {
	let sum = 0;
	for (const answer of answers) {
		sum += answer?.isWhole ? answer.tokens : 0;
	}

	return sum;
}

/** Returns whether a text is the complete answer of an engine to one request: each word has the name of the same run and the next index. */
export function isOwnAnswer(text: string, tokens: number): boolean {
	const parts = text.trim().split(' ');
	const names = new Set(parts.map(part => part.slice(0, part.lastIndexOf('-'))));
	return parts.length === tokens && names.size === 1 && parts.every((part, index) => part.endsWith(`-${index}`));
}
