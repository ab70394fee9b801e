/**
 * Stand-in of a model engine: streams tokens at a set pace, batches, keeps a
 * prefix cache, resumes and cancels streams, reports load late, takes orders,
 * and can misbehave.
 *
 * @module
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout as wait} from 'node:timers/promises';
import {readDocument, sendDocument, serveStandIn} from './serve.js';

type Run = {
	readonly id: string;
	readonly events: string[];
	isEnded: boolean;
	isCancelled: boolean;
	readonly listeners: Set<() => void>;
};

type Body = {
	messages: Array<{content: string}>;
	max_tokens?: number;
	model: string;
};

const control = {
	/** Milliseconds between two tokens. */
	tokenPause: 2,
	/** Milliseconds before the first token when the prompt's beginning is not cached. */
	prefill: 10,
	/** Requests that run at full pace together. */
	capacity: 64,
	/** Load reports are this old, in milliseconds. */
	lag: 1000,
	/** Streams open now fall silent for good; new connections work. */
	silenceOpen: false,
	/** Tokens generated past the limit. */
	overrun: 0,
	checksFencing: false,
};
const counts = {
	runs: 0, tokens: 0, cacheHits: 0, cancelled: 0, resumed: 0, repeats: 0,
};
const runs = new Map<string, Run>();
const seen = new Set<string>();
const cache = new Map<string, true>();
const cacheLimit = 32;
const prefixLength = 256;
const reports: Array<{at: number; running: number; queued: number}> = [];
const orders: Array<{action: string; value: string; fence: number}> = [];
let running = 0;
let silenced = new Set<ServerResponse>();
const open = new Set<ServerResponse>();

function countPromptTokens(body: Body): number {
	return body.messages.reduce((sum, message) => sum + Math.ceil(String(message.content).length / 4) + 4, 3);
}

function touchCache(prefix: string): boolean {
	const isHit = cache.delete(prefix);
	cache.set(prefix, true);
	for (const old of cache.keys()) {
		if (cache.size <= cacheLimit) {
			break;
		}

		cache.delete(old);
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

// The answer is a function of the request, so that a proof can tell whose answer arrived.
function nameToken(run: Run, index: number): string {
	return `${run.id.slice(0, 6)}-${index} `;
}

async function generate(run: Run, body: Body): Promise<void> {
	const prompt = countPromptTokens(body);
	const wanted = Number(/answer (\d+)/.exec(String(body.messages.at(-1)?.content))?.[1] ?? 20);
	const limit = (body.max_tokens ?? wanted) + control.overrun;
	const length = control.overrun > 0 ? limit : Math.min(wanted, limit);
	counts.runs += 1;
	running += 1;
	const isHit = touchCache(JSON.stringify(body.messages).slice(0, prefixLength));
	counts.cacheHits += isHit ? 1 : 0;
	await wait(isHit ? control.prefill / 4 : control.prefill);
	/* eslint-disable @typescript-eslint/naming-convention */
	for (let index = 0; index < length && !run.isCancelled; index++) {
		counts.tokens += 1;
		pushEvent(run, formatEvent(run, body, {index: 0, delta: {content: nameToken(run, index)}, finish_reason: null}, {
			prompt_tokens: prompt, completion_tokens: index + 1, total_tokens: prompt + index + 1,
		}));
		await wait(control.tokenPause * Math.max(1, running / control.capacity));
	}

	pushEvent(run, formatEvent(run, body, {index: 0, delta: {}, finish_reason: length < wanted ? 'length' : 'stop'}));
	pushEvent(run, formatEvent(run, body, undefined, {prompt_tokens: prompt, completion_tokens: length, total_tokens: prompt + length}));
	/* eslint-enable @typescript-eslint/naming-convention */
	pushEvent(run, '[DONE]');
	run.isEnded = true;
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
	open.add(response);
	response.on('close', () => {
		open.delete(response);
	});
	for (let index = from; !response.destroyed; index++) {
		while (index >= run.events.length) {
			await waitForEvent(run);
		}

		const data = run.events[index]!;
		if (!silenced.has(response)) {
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
	const last = request.headers['last-event-id'];
	const body = await readDocument(request) as Body;
	const known = runs.get(id);
	if (last !== undefined) {
		if (!known) {
			sendDocument(response, 404, {error: 'unknown request'});
			return;
		}

		counts.resumed += 1;
		await sendEvents(known, response, Number(last) + 1);
		return;
	}

	if (known && !known.isEnded) {
		await sendEvents(known, response, 0);
		return;
	}

	counts.repeats += seen.has(id) ? 1 : 0;
	seen.add(id);
	const run: Run = {
		id, events: [], isEnded: false, isCancelled: false, listeners: new Set(),
	};
	runs.set(id, run);
	void generate(run, body);
	await sendEvents(run, response, 0);
}

function takeOrder(order: {action: string; value: string; fence: number}): boolean {
	const highest = Math.max(-1, ...orders.map(known => known.fence));
	if (control.checksFencing && order.fence < highest) {
		return false;
	}

	orders.push(order);
	return true;
}

function readLoad() {
	const now = Date.now();
	const old = reports.findLast(report => report.at <= now - control.lag) ?? reports[0];
	return {running: old?.running ?? 0, queued: old?.queued ?? 0, ageMs: old ? now - old.at : 0};
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
				silenced = new Set([...silenced, ...open]);
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

			const isTaken = takeOrder(await readDocument(request) as {action: string; value: string; fence: number});
			sendDocument(response, isTaken ? 200 : 409, {isTaken});
			return undefined;
		}

		case '/v1/chat/completions': {
			await complete(request, response);
			return undefined;
		}

		default: {
			const id = /^\/v1\/requests\/(.+)\/cancel$/.exec(url.pathname)?.[1] ?? '';
			const run = runs.get(id);
			if (run && !run.isEnded) {
				run.isCancelled = true;
				counts.cancelled += 1;
			}

			return {isKnown: run !== undefined};
		}
	}
});
