/**
 * Stand-in for a model engine: generates tokens at a configured rate that drops
 * under load, has a prefix cache, resumes and cancels streams, reports its load
 * with a delay, accepts orders, and can simulate faults.
 *
 * @module
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout as wait} from 'node:timers/promises';
import {readDocument, sendDocument, serveStandIn} from './serve.js';

type Run = {
	readonly id: string;
	readonly events: string[];
	hasEnded: boolean;
	isCancelled: boolean;
	readonly listeners: Set<() => void>;
};

type Body = {
	messages: Array<{content: string}>;
	max_tokens?: number;
	model: string;
};

const control = {
	/** Interval between tokens, in milliseconds. */
	tokenPause: 2,
	/** Time before the first token if the prompt prefix is not cached, in milliseconds. */
	prefill: 10,
	/** Number of concurrent requests above which token generation slows down. */
	capacity: 64,
	/** Age of load reports, in milliseconds. */
	lag: 1000,
	/** Stops sending on all open streams permanently; new connections work. */
	silenceOpen: false,
	/** Number of tokens generated beyond the limit. */
	overrun: 0,
	/** Refuses orders with a lower fence than an earlier order. */
	checksFencing: false,
};
const counts = {
	runs: 0, tokens: 0, cacheHits: 0, cancelled: 0, resumed: 0, repeats: 0,
};
const runs = new Map<string, Run>();
const seenIds = new Set<string>();
const cache = new Map<string, true>();
const maxCachedPrefixes = 32;
const prefixChars = 256;
const reports: Array<{at: number; running: number; queued: number}> = [];
const orders: Array<{action: string; value: string; fence: number}> = [];
let running = 0;
let unresponsiveResponses = new Set<ServerResponse>();
const openResponses = new Set<ServerResponse>();

function countPromptTokens(body: Body): number {
	return body.messages.reduce((sum, message) => sum + Math.ceil(String(message.content).length / 4) + 4, 3);
}

function updateCache(prefix: string): boolean {
	const isHit = cache.delete(prefix);
	cache.set(prefix, true);
	for (const oldestPrefix of cache.keys()) {
		if (cache.size <= maxCachedPrefixes) {
			break;
		}

		cache.delete(oldestPrefix);
	}

	return isHit;
}

function formatEvent(run: Run, body: Body, choice: unknown, usage?: unknown): string {
	return JSON.stringify({
		id: `chatcmpl-${run.id}`, object: 'chat.completion.chunk', created: 1, model: body.model, choices: choice === undefined ? [] : [choice], usage,
	});
}

function pushEvent(run: Run, data: string): void {
	run.events.push(data);
	for (const wake of run.listeners) {
		wake();
	}
}

// Tokens contain the request ID, so that a proof can check that a caller received the answer to its own request.
function formatToken(run: Run, index: number): string {
	return `${run.id.slice(0, 6)}-${index} `;
}

async function generate(run: Run, body: Body): Promise<void> {
	const promptTokens = countPromptTokens(body);
	const requestedTokens = Number(/answer (\d+)/.exec(String(body.messages.at(-1)?.content))?.[1] ?? 20);
	const maxTokens = (body.max_tokens ?? requestedTokens) + control.overrun;
	const outputTokens = control.overrun > 0 ? maxTokens : Math.min(requestedTokens, maxTokens);
	counts.runs += 1;
	running += 1;
	const isHit = updateCache(JSON.stringify(body.messages).slice(0, prefixChars));
	counts.cacheHits += isHit ? 1 : 0;
	await wait(isHit ? control.prefill / 4 : control.prefill);
	/* eslint-disable @typescript-eslint/naming-convention */
	for (let index = 0; index < outputTokens && !run.isCancelled; index++) {
		counts.tokens += 1;
		pushEvent(run, formatEvent(run, body, {index: 0, delta: {content: formatToken(run, index)}, finish_reason: null}, {
			prompt_tokens: promptTokens, completion_tokens: index + 1, total_tokens: promptTokens + index + 1,
		}));
		await wait(control.tokenPause * Math.max(1, running / control.capacity));
	}

	pushEvent(run, formatEvent(run, body, {index: 0, delta: {}, finish_reason: outputTokens < requestedTokens ? 'length' : 'stop'}));
	pushEvent(run, formatEvent(run, body, undefined, {prompt_tokens: promptTokens, completion_tokens: outputTokens, total_tokens: promptTokens + outputTokens}));
	/* eslint-enable @typescript-eslint/naming-convention */
	pushEvent(run, '[DONE]');
	run.hasEnded = true;
	running -= 1;
}

async function waitForEvent(run: Run): Promise<void> {
	await new Promise<void>(resolve => {
		const wake = () => {
			run.listeners.delete(wake);
			resolve();
		};

		run.listeners.add(wake);
	});
}

async function sendEvents(run: Run, response: ServerResponse, from: number): Promise<void> {
	response.writeHead(200, {'content-type': 'text/event-stream'});
	openResponses.add(response);
	response.on('close', () => {
		openResponses.delete(response);
	});
	for (let index = from; !response.destroyed; index++) {
		while (index >= run.events.length) {
			await waitForEvent(run);
		}

		const data = run.events[index]!;
		if (!unresponsiveResponses.has(response)) {
			response.write(`id: ${index}\ndata: ${data}\n\n`);
			if (data === '[DONE]') {
				response.end();
				return;
			}
		}
	}
}

async function complete(request: IncomingMessage, response: ServerResponse): Promise<void> {
	const id = String(request.headers['x-request-id'] ?? `direct-${counts.runs}`);
	const lastEventId = request.headers['last-event-id'];
	const body = await readDocument(request) as Body;
	const existingRun = runs.get(id);
	if (lastEventId !== undefined) {
		if (!existingRun) {
			sendDocument(response, 404, {error: 'unknown request'});
			return;
		}

		counts.resumed += 1;
		await sendEvents(existingRun, response, Number(lastEventId) + 1);
		return;
	}

	if (existingRun && !existingRun.hasEnded) {
		await sendEvents(existingRun, response, 0);
		return;
	}

	counts.repeats += seenIds.has(id) ? 1 : 0;
	seenIds.add(id);
	const run: Run = {
		id, events: [], hasEnded: false, isCancelled: false, listeners: new Set(),
	};
	runs.set(id, run);
	void generate(run, body);
	await sendEvents(run, response, 0);
}

function acceptOrder(order: {action: string; value: string; fence: number}): boolean {
	const highestFence = Math.max(-1, ...orders.map(earlier => earlier.fence));
	if (control.checksFencing && order.fence < highestFence) {
		return false;
	}

	orders.push(order);
	return true;
}

function readLoad() {
	const now = Date.now();
	const delayedReport = reports.findLast(report => report.at <= now - control.lag) ?? reports[0];
	return {running: delayedReport?.running ?? 0, queued: delayedReport?.queued ?? 0, ageMs: delayedReport ? now - delayedReport.at : 0};
}

setInterval(() => {
	reports.push({at: Date.now(), running: Math.min(running, control.capacity), queued: Math.max(0, running - control.capacity)});
	reports.splice(0, Math.max(0, reports.length - 200));
}, 100);

await serveStandIn('model-engine', async (request, response, url) => {
	switch (url.pathname) {
		case '/control': {
			Object.assign(control, await readDocument(request));
			if (control.silenceOpen) {
				unresponsiveResponses = new Set([...unresponsiveResponses, ...openResponses]);
				control.silenceOpen = false;
			}

			return control;
		}

		case '/counts': {
			return counts;
		}

		case '/v1/load': {
			return readLoad();
		}

		case '/v1/orders': {
			if (request.method === 'GET') {
				return {orders};
			}

			const isAccepted = acceptOrder(await readDocument(request) as {action: string; value: string; fence: number});
			sendDocument(response, isAccepted ? 200 : 409, {isTaken: isAccepted});
			return undefined;
		}

		case '/v1/chat/completions': {
			await complete(request, response);
			return undefined;
		}

		default: {
			const id = /^\/v1\/requests\/(.+)\/cancel$/.exec(url.pathname)?.[1] ?? '';
			const run = runs.get(id);
			if (run && !run.hasEnded) {
				run.isCancelled = true;
				counts.cancelled += 1;
			}

			return {isKnown: run !== undefined};
		}
	}
});
