/**
 * Client of the platform's log service.
 *
 * @module
 */
import {Agent, request} from 'undici';
import {
	Err, Ok, createFailure, logPageSchema, type Failure, type LogPage, type LogRecord, type Result,
} from '../protocol/mod.js';
import {createBound} from './bound.js';

/** Why a read failed: the log is away, or it no longer keeps the offset asked for. */
export type ReadFailure =
	| {readonly kind: 'away'; readonly failure: Failure}
	| {readonly kind: 'gone'; readonly first: number; readonly next: number};

/** Options of {@linkcode createLogClient}. */
export type CreateLogClientOptions = {
	readonly url: string;
	readonly stream: string;
	/** How long an append or a read may take, in milliseconds. */
	readonly timeout: number;
};

/** Options of {@linkcode LogClient.read}. */
export type ReadLogOptions = {
	/** How long the log may hold the answer back for a new record, in milliseconds; default 0. */
	readonly wait?: number;
	readonly signal?: AbortSignal;
};

/** Client of the log service; an interface so that tests can stand in for it. */
export type LogClient = {
	/** Appends records in order, at adjoining offsets. After a failure the records may stand on the log all the same. */
	readonly append: (records: readonly LogRecord[]) => Promise<Result<undefined, Failure>>;
	readonly read: (from: number, options?: ReadLogOptions) => Promise<Result<LogPage, ReadFailure>>;
	readonly close: () => Promise<void>;
};

const goneStatus = 410;
const okStatus = 200;
const pageLimit = 1000;

/** @internal */
function openDispatcher(timeout: number): Agent {
	return new Agent({connections: 4, pipelining: 1, connect: {timeout}});
}

/**
 * Creates a client of the log service.
 *
 * @example
 * ```ts
 * const log = createLogClient({url: 'http://127.0.0.1:7000', stream: 'fleet', timeout: 3000});
 * await log.read(0);
 * ```
 *
 * @param options Address, stream and time bound
 * @returns The client
 */
export function createLogClient(options: CreateLogClientOptions): LogClient {
	let dispatcher = openDispatcher(options.timeout);
	let isClosed = false;
	const address = `${options.url}/v1/streams/${options.stream}/records`;

	function explainAway(error: unknown): Failure {
		return createFailure('log-unavailable', `The log service at ${options.url} does not answer: ${(error as Error).message}`);
	}

	// Connections can go silent for good, all that are open together, while new ones work. A call that fails shows it
	// within its bound; every open connection is dropped then, so that the next call opens a new one.
	function dropConnections(used: Agent, signal?: AbortSignal): void {
		if (used === dispatcher && !signal?.aborted && !isClosed) {
			dispatcher = openDispatcher(options.timeout);
			void used.destroy();
		}
	}

	return {
		async append(records) {
			const used = dispatcher;
			const bound = createBound(options.timeout);
			try {
				const answer = await request(address, {
					method: 'POST', dispatcher: used, signal: bound.signal,
					headers: {'content-type': 'application/json'},
					body: JSON.stringify({records}),
				});
				const text = await answer.body.text();
				return answer.statusCode === okStatus ? Ok(undefined) : Err(explainAway(new Error(`status ${answer.statusCode} ${text}`)));
			} catch (error) {
				dropConnections(used);
				return Err(explainAway(error));
			} finally {
				bound.clear();
			}
		},

		async read(from, {wait = 0, signal} = {}) {
			const used = dispatcher;
			const bound = createBound(options.timeout + wait, signal ? [signal] : []);
			try {
				const answer = await request(`${address}?from=${from}&wait=${wait}&limit=${pageLimit}`, {dispatcher: used, signal: bound.signal});
				const body = await answer.body.json();
				if (answer.statusCode === goneStatus) {
					const {first, next} = logPageSchema.parse(body);
					return Err({kind: 'gone', first, next});
				}

				if (answer.statusCode !== okStatus) {
					return Err({kind: 'away', failure: explainAway(new Error(`status ${answer.statusCode}`))});
				}

				return Ok(logPageSchema.parse(body));
			} catch (error) {
				dropConnections(used, signal);
				return Err({kind: 'away', failure: explainAway(error)});
			} finally {
				bound.clear();
			}
		},

		async close() {
			isClosed = true;
			await dispatcher.destroy();
		},
	};
}
