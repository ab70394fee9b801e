/**
 * HTTP client of the platform's log service.
 *
 * @module
 */
import {Agent, request} from 'undici';
import {
	Err, Ok, createFailure, logPageSchema, type Failure, type LogPage, type LogRecord, type Result,
} from '../protocol/mod.js';
import {createTimeoutSignal} from './abort-signals.js';

/** Why a read failed: `away` if the log is unavailable, `gone` if it no longer retains the requested offset. */
export type ReadFailure =
	| {readonly kind: 'away'; readonly failure: Failure}
	| {readonly kind: 'gone'; readonly first: number; readonly next: number};

/** Options of {@linkcode createLogClient}. */
export type CreateLogClientOptions = {
	readonly url: string;
	readonly stream: string;
	/** Timeout of an append or a read, in milliseconds. */
	readonly timeoutMs: number;
};

/** Options of {@linkcode LogClient.read}. */
export type ReadLogOptions = {
	/** How long the log service may delay the response until there is a new record, in milliseconds; default 0. */
	readonly waitMs?: number;
	readonly signal?: AbortSignal;
};

/** Client of the log service; a separate type so that tests can replace the client. */
export type LogClient = {
	/** Appends records in order, at consecutive offsets. After a failure the records may still be recorded in the log. */
	readonly append: (records: readonly LogRecord[]) => Promise<Result<undefined, Failure>>;
	readonly read: (from: number, options?: ReadLogOptions) => Promise<Result<LogPage, ReadFailure>>;
	readonly close: () => Promise<void>;
};

const goneStatus = 410;
const okStatus = 200;
const maxPageRecords = 1000;

/** @internal */
function createDispatcher(timeoutMs: number): Agent {
	return new Agent({connections: 4, pipelining: 1, connect: {timeout: timeoutMs}});
}

/**
 * Creates a client for the log service.
 *
 * @example
 * ```ts
 * const log = createLogClient({url: 'http://127.0.0.1:7000', stream: 'fleet', timeoutMs: 3000});
 * await log.read(0);
 * ```
 *
 * @param options URL, stream and timeout
 * @returns The client
 */
export function createLogClient(options: CreateLogClientOptions): LogClient {
	let dispatcher = createDispatcher(options.timeoutMs);
	let isClosed = false;
	const address = `${options.url}/v1/streams/${options.stream}/records`;

	function createUnavailableFailure(error: unknown): Failure {
		return createFailure('log-unavailable', `The log service at ${options.url} is unavailable: ${(error as Error).message}`);
	}

	// All open connections can become unresponsive permanently and at once, while new ones work. The first call to time
	// out detects that; all open connections are then dropped, so that the next call opens a new one.
	function dropConnections(failedDispatcher: Agent, signal?: AbortSignal): void {
		if (failedDispatcher === dispatcher && !signal?.aborted && !isClosed) {
			dispatcher = createDispatcher(options.timeoutMs);
			void failedDispatcher.destroy();
		}
	}

	return {
		async append(records) {
			const usedDispatcher = dispatcher;
			const timeout = createTimeoutSignal(options.timeoutMs);
			try {
				const response = await request(address, {
					method: 'POST', dispatcher: usedDispatcher, signal: timeout.signal,
					headers: {'content-type': 'application/json'},
					body: JSON.stringify({records}),
				});
				const text = await response.body.text();
				return response.statusCode === okStatus ? Ok(undefined) : Err(createUnavailableFailure(new Error(`status ${response.statusCode} ${text}`)));
			} catch (error) {
				dropConnections(usedDispatcher);
				return Err(createUnavailableFailure(error));
			} finally {
				timeout.clear();
			}
		},

		async read(from, {waitMs = 0, signal} = {}) {
			const usedDispatcher = dispatcher;
			const timeout = createTimeoutSignal(options.timeoutMs + waitMs, signal ? [signal] : []);
			try {
				const response = await request(`${address}?from=${from}&wait=${waitMs}&limit=${maxPageRecords}`, {dispatcher: usedDispatcher, signal: timeout.signal});
				const body = await response.body.json();
				if (response.statusCode === goneStatus) {
					const {first, next} = logPageSchema.parse(body);
					return Err({kind: 'gone', first, next});
				}

				if (response.statusCode !== okStatus) {
					return Err({kind: 'away', failure: createUnavailableFailure(new Error(`status ${response.statusCode}`))});
				}

				return Ok(logPageSchema.parse(body));
			} catch (error) {
				dropConnections(usedDispatcher, signal);
				return Err({kind: 'away', failure: createUnavailableFailure(error)});
			} finally {
				timeout.clear();
			}
		},

		async close() {
			isClosed = true;
			await dispatcher.destroy();
		},
	};
}
