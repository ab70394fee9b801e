/**
 * Stand-in for the platform's log service: appends, reads from an offset, long
 * polling and limited retention. It can be unavailable or slow, or lose the
 * response to an append that has taken effect.
 *
 * @module
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout as wait} from 'node:timers/promises';
import {readDocument, sendDocument, serveStandIn} from './serve.js';

type StoredRecord = {offset: number; at: number; data: unknown};

const control = {
	isDown: false,
	/** Delay of each response, in milliseconds. */
	delay: 0,
	/** Number of appends whose response will be lost. */
	loseAnswers: 0,
	/** Kind of records whose response may be lost; empty for any kind. */
	loseKind: '',
	/** Number of records retained; 0 for all. */
	retention: 0,
};
const counts = {
	appends: 0, records: 0, bytes: 0, reads: 0,
};
const records: StoredRecord[] = [];
const waiters = new Set<() => void>();
let nextOffset = 0;

function appendRecords(items: readonly unknown[]): void {
	for (const data of items) {
		records.push({offset: nextOffset, at: Date.now(), data});
		nextOffset += 1;
	}

	if (control.retention > 0 && records.length > control.retention) {
		records.splice(0, records.length - control.retention);
	}

	for (const wake of waiters) {
		wake();
	}
}

async function waitForRecord(timeoutMs: number): Promise<void> {
	const timer = new AbortController();
	await new Promise<void>(resolve => {
		const wake = () => {
			waiters.delete(wake);
			timer.abort();
			resolve();
		};

		waiters.add(wake);
		setTimeout(wake, timeoutMs).unref();
	});
}

function shouldLoseAnswer(items: readonly unknown[]): boolean {
	const isMatching = control.loseKind === '' || items.some(item => (item as {kind: string}).kind === control.loseKind);
	if (control.loseAnswers === 0 || !isMatching) {
		return false;
	}

	control.loseAnswers -= 1;
	return true;
}

async function append(request: IncomingMessage, response: ServerResponse): Promise<unknown> {
	const {records: items} = await readDocument(request) as {records: unknown[]};
	counts.appends += 1;
	counts.records += items.length;
	counts.bytes += JSON.stringify(items).length;
	appendRecords(items);
	if (shouldLoseAnswer(items)) {
		response.destroy();
		return undefined;
	}

	return {next: nextOffset};
}

async function read(response: ServerResponse, url: URL): Promise<unknown> {
	const from = Number(url.searchParams.get('from') ?? 0);
	counts.reads += 1;
	if (from >= nextOffset) {
		await waitForRecord(Number(url.searchParams.get('wait') ?? 0));
	}

	if (control.isDown) {
		response.destroy();
		return undefined;
	}

	const first = records[0]?.offset ?? nextOffset;
	if (from < first) {
		sendDocument(response, 410, {records: [], first, next: nextOffset});
		return undefined;
	}

	const limit = Number(url.searchParams.get('limit') ?? 1000);
	return {records: records.slice(from - first, from - first + limit), first, next: nextOffset};
}

await serveStandIn('log-service', async (request, response, url) => {
	if (url.pathname === '/control') {
		Object.assign(control, await readDocument(request));
		for (const wake of waiters) {
			wake();
		}

		return control;
	}

	if (url.pathname === '/counts') {
		return counts;
	}

	if (url.pathname === '/dump') {
		return {records};
	}

	if (control.delay > 0) {
		await wait(control.delay);
	}

	if (control.isDown) {
		response.destroy();
		return undefined;
	}

	return request.method === 'POST' ? append(request, response) : read(response, url);
});
