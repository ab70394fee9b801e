/**
 * Counting at the stand-ins' own records, and callers that spend a budget.
 *
 * @module
 */
import {setTimeout as wait} from 'node:timers/promises';
import {
	askChat, fetchDocument, waitUntil, type AskChatOptions, type BudgetFigures, type CallerAnswer, type FleetDaemon, type TestFleet,
} from '../harness/mod.js';

/** The customer of most proofs. */
export const city = {name: 'city', key: 'city-key', budget: 'city-budget'} as const;

const ampleTokens = 1_000_000;

/** Sets up the city with an ample budget. */
export async function configureCity(fleet: TestFleet, tokens = ampleTokens): Promise<void> {
	await fleet.configure([{name: city.name, key: city.key, tokens}]);
}

/** What the engines counted. */
export type EngineCounts = Readonly<Record<'runs' | 'tokens' | 'cancelled' | 'resumed' | 'repeats' | 'cacheHits', number>>;

/** Sums what all engines counted. */
export async function countEngines(fleet: TestFleet): Promise<EngineCounts> {
	const total: Record<string, number> = {};
	for (const upstream of fleet.upstreams.filter(item => item.id.startsWith('up-model'))) {
		const counts = await fetchDocument<Record<string, number>>(`${upstream.standIn.ready.url}/counts`);
		for (const [name, count] of Object.entries(counts)) {
			total[name] = (total[name] ?? 0) + count;
		}
	}

	return total as EngineCounts;
}

/** A budget as one entry shows it. */
export async function readBudget(entry: FleetDaemon, budget: string): Promise<BudgetFigures> {
	return fetchDocument<BudgetFigures>(`${entry.process.ready.operators}/v1/budgets/${budget}`);
}

/** Counts how often each booking was executed, by the services' own records. */
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

/** The address of a daemon for callers. */
export function listen(entry: FleetDaemon | undefined): string {
	return entry!.process.ready.callers;
}

/** Sets the log service's faults. */
export async function setLog(fleet: TestFleet, control: Record<string, unknown>): Promise<void> {
	await fetchDocument(`${fleet.log.ready.url}/control`, control);
}

/** Reads a daemon's status. */
export async function readStatus(daemon: FleetDaemon) {
	return fetchDocument<{isReady: boolean; version: number; figures: Record<string, number>; events: Record<string, number>}>(`${daemon.process.ready.operators}/v1/status`);
}

/** Waits until the daemons' receipts are on the log and every entry has folded them. */
export async function waitForReceipts(fleet: TestFleet): Promise<void> {
	await waitUntil(async () => {
		const live = fleet.upstreams.filter(upstream => !upstream.process.hasExited());
		const statuses = await Promise.all(live.map(async upstream => readStatus(upstream)));
		return statuses.every(({figures}) => figures.receiptsWaiting === 0 && figures.running === 0);
	}, 'all receipts are on the log');
	await wait(300);
}

/** Asks without throwing when the connection breaks. */
export async function tryChat(url: string, options: Omit<AskChatOptions, 'key'>): Promise<CallerAnswer | undefined> {
	try {
		return await askChat(url, {key: city.key, ...options});
	} catch {
		return undefined;
	}
}

/** Starts a stream and waits for its first chunk; returns the promise of its outcome. */
export async function beginStream(url: string, options: Omit<AskChatOptions, 'key'>): Promise<{readonly outcome: Promise<CallerAnswer | undefined>}> {
	let begin: () => void = () => undefined;
	const hasBegun = new Promise<void>(resolve => {
		begin = resolve;
	});
	const outcome = tryChat(url, {...options, stream: true, onFirst: begin});
	await hasBegun;
	return {outcome};
}

/** Options of {@linkcode spendUntilRefused}. */
export type SpendOptions = {
	/** Requests at most. */
	readonly limit: number;
	/** Refusals in a row that end it; default 2. */
	readonly refusals?: number;
	readonly content?: string;
	readonly maxTokens?: number;
	readonly deadline?: string;
};

/** Asks one request after the other until the budget is spent; returns the answers. */
export async function spendUntilRefused(url: string, options: SpendOptions): Promise<CallerAnswer[]> {
	const answers: CallerAnswer[] = [];
	let refused = 0;
	while (answers.length < options.limit && refused < (options.refusals ?? 2)) {
		const answer = await tryChat(url, {content: options.content ?? 'answer 20', maxTokens: options.maxTokens ?? 20, deadline: options.deadline ?? '8s'});
		if (answer) {
			answers.push(answer);
		}

		refused = answer?.isWhole ? 0 : refused + 1;
	}

	return answers;
}

/** Describes each refusal among answers by its status and reason. */
export function describeRefusals(answers: ReadonlyArray<CallerAnswer | undefined>): string {
	const refusals = answers.filter(answer => !answer?.isWhole);
	return refusals.map(answer => answer ? `${answer.status} ${answer.problem?.detail ?? ''}` : 'connection broke').join('; ');
}

/** Sums the tokens that whole answers say they cost. */
export function sumTokens(answers: ReadonlyArray<CallerAnswer | undefined>): number {
	let sum = 0;
	for (const answer of answers) {
		sum += answer?.isWhole ? answer.tokens : 0;
	}

	return sum;
}

/** Tells whether a text is the engine's whole answer to one request: one name, all indexes. */
export function isOwnText(text: string, tokens: number): boolean {
	const parts = text.trim().split(' ');
	const names = new Set(parts.map(part => part.slice(0, part.lastIndexOf('-'))));
	return parts.length === tokens && names.size === 1 && parts.every((part, index) => part.endsWith(`-${index}`));
}
