/**
 * HTTP client for calling upstreams directly.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders} from 'node:http';
import type {Socket} from 'node:net';
import {
	Agent, Client, buildConnector, errors, type Dispatcher,
} from 'undici';
import {
	Err, Ok, type RawHeaders, type Result,
} from '../protocol/mod.js';
import {createByteLimits, type ByteHolder, type ByteLimits} from './byte-limits.js';
import {createConnectionMeters, type ConnectionMeter} from './connection-meter.js';
import type {ReadGate} from './read-gate.js';

/** A request to one upstream. */
export type UpstreamCall = {
	/** IP address and port. */
	readonly address: string;
	readonly method: string;
	/** Path, including the query string. */
	readonly path: string;
	readonly headers: string[];
	readonly body: Uint8Array | undefined;
	/** Aborts the call. */
	readonly signal: AbortSignal;
	/** Opens a new connection for this call; for requests that may not be repeated. */
	readonly shouldUseNewConnection: boolean;
	/** Checked once a connection is available, possibly seconds after the call; false aborts the call unsent. */
	readonly shouldStillSend: () => boolean;
};

/** Why a call got no response: `unsent` if nothing was sent, `broken` if the upstream may have run the request. */
export type CallFailure = {readonly kind: 'unsent' | 'broken'; readonly detail: string};

/** A response whose headers have arrived. */
export type UpstreamResponse = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly rawHeaders: RawHeaders;
	/** The body's chunks; throws if the response is truncated. */
	readonly chunks: AsyncIterableIterator<Uint8Array>;
	/** Discards the remaining body and closes the connection. */
	readonly abandon: () => void;
};

/** HTTP client for upstreams. */
export type UpstreamClient = {
	readonly call: (call: UpstreamCall) => Promise<Result<UpstreamResponse, CallFailure>>;
	readonly close: () => Promise<void>;
};

/** Options of {@linkcode createUpstreamClient}. */
export type CreateUpstreamClientOptions = {
	/** Time limit in milliseconds for opening a connection; an unreachable upstream does not answer the SYN packet. */
	readonly connectTimeoutMs: number;
	/** Maximum number of connections to one upstream; calls that open their own connection are not counted. */
	readonly maxConnections: number;
	/** Limits of the process on held bytes; by default the client has limits of its own. */
	readonly limits?: ByteLimits;
};

/** Lower statuses are informational: the final response follows on the connection. */
const minFinalStatus = 200;
const notModifiedStatus = 304;
/** The upstream is paused while more than this many bytes are buffered for a slow reader. */
const maxBufferedBytes = 65_536;

/** Memory of the object that represents a chunk. A body in chunks of one byte would otherwise seem to need no memory. */
const chunkObjectBytes = 128;

/** @internal Buffers the chunks of a body between undici, which pushes them, and their reader. */
function createChunkQueue({controller, gate}: {readonly controller: Dispatcher.DispatchController; readonly gate: ReadGate | undefined}, openHolder: (cut: (detail: string) => void) => ByteHolder) {
	const chunks: Uint8Array[] = [];
	let bufferedBytes = 0;
	let hasEnded = false;
	let failure: Error | undefined;
	let isDiscarded = false;
	let wake: () => void = () => undefined;

	// The chunks that have arrived are not passed on either, so that what is left of a response does not look complete.
	function discard(detail: string): void {
		isDiscarded = true;
		failure ??= new Error(detail);
		chunks.length = 0;
		bufferedBytes = 0;
		holder.close();
		wake();
	}

	const holder = openHolder(detail => {
		discard(detail);
		controller.abort(new Error(detail));
	});

	function countBytes(change: number): void {
		bufferedBytes += change;
		holder.set(bufferedBytes);
	}

	async function waitForChange(): Promise<void> {
		return new Promise(resolve => {
			wake = resolve;
		});
	}

	return {
		push(chunk: Uint8Array): void {
			if (isDiscarded) {
				return;
			}

			chunks.push(chunk);
			countBytes(chunk.length + chunkObjectBytes);
			if (bufferedBytes > maxBufferedBytes) {
				gate?.stop();
			}

			wake();
		},
		end(error?: Error): void {
			hasEnded = true;
			failure ??= error;
			gate?.resume();
			wake();
		},
		discard,
		async * read(): AsyncIterableIterator<Uint8Array> {
			try {
				for (;;) {
					const chunk = chunks.shift();
					if (chunk) {
						countBytes(-chunk.length - chunkObjectBytes);
						if (!hasEnded && bufferedBytes <= maxBufferedBytes) {
							gate?.resume();
						}

						yield chunk;
					} else if (failure) {
						throw failure;
					} else if (hasEnded) {
						return;
					} else {
						await waitForChange();
					}
				}
			} finally {
				holder.close();
			}
		},
	};
}

/**
 * @internal Distinguishes the end of a response without `content-length` from a
 * connection reset, so that a truncated response is not passed on as complete.
 *
 * A reset can look like a normal end in two ways: undici treats the socket's
 * `error` event as the end of such a response, and Node.js emits `end` without
 * an error if the last bytes and the reset are received together. The listeners
 * added here run before undici's. On `error` they record a reset; on `end` they
 * write to the socket, which fails at once if the connection was reset and
 * succeeds if the upstream closed it normally.
 */
function createResetDetector(onConnect: (socket: Socket, address: string) => void) {
	const resetVerdicts = new Map<string, Promise<boolean>>();

	function recordVerdict(address: string, wasReset: Promise<boolean>): void {
		resetVerdicts.set(address, wasReset);
		queueMicrotask(() => {
			resetVerdicts.delete(address);
		});
	}

	async function probeByWrite(socket: Socket): Promise<boolean> {
		return new Promise(resolve => {
			socket.write('\r\n', error => {
				resolve(error instanceof Error);
			});
		});
	}

	return {
		/** Returns whether the connection was reset; valid only within the event that ended the response. */
		wasReset: async (address: string): Promise<boolean> => resetVerdicts.get(address) ?? false,
		watch: (connector: buildConnector.connector): buildConnector.connector => (options, callback) => {
			connector(options, (...result) => {
				const [, socket] = result;
				const address = `${options.hostname}:${options.port}`;
				if (socket) {
					onConnect(socket, address);
				}

				socket?.on('error', () => {
					recordVerdict(address, Promise.resolve(true));
				});
				socket?.on('end', () => {
					recordVerdict(address, probeByWrite(socket));
				});
				callback(...result);
			});
		},
	};
}

/**
 * @internal Returns whether an error reports the missing body of a response that
 * never has one: the `content-length` of a 304 is that of the unmodified body,
 * which undici expects.
 */
function isBodyNotExpected(status: number | undefined, error: Error): boolean {
	return status === notModifiedStatus && error instanceof errors.ResponseContentLengthMismatchError;
}

/** @internal Decodes alternating header names and values. */
function listRawHeaders(raw: unknown): string[] {
	return Array.isArray(raw) ? raw.map(item => Buffer.from(item as Uint8Array).toString('latin1')) : [];
}

/** @internal */
function normalizeException(exception: unknown): Error {
	return exception instanceof Error ? exception : new Error(String(exception));
}

/** @internal Runs a task, whose exception is handled instead of thrown. */
function runGuarded(task: () => void, onException: (exception: unknown) => void): void {
	try {
		task();
	} catch (error) {
		onException(error);
	}
}

/**
 * @internal Guards the callbacks of a call, so that an exception ends that call
 * only. undici calls some of them in event handlers of the socket, where an
 * exception would end the process.
 */
function guardHandler(handler: Dispatcher.DispatchHandler, onException: (exception: unknown, controller: Dispatcher.DispatchController) => void): Dispatcher.DispatchHandler {
	const guard = (callback: unknown) => (controller: Dispatcher.DispatchController, ...args: unknown[]) => {
		runGuarded(() => {
			(callback as (...args: unknown[]) => void).call(handler, controller, ...args);
		}, exception => {
			onException(exception, controller);
		});
	};

	return Object.fromEntries(Object.entries(handler).map(([name, callback]) => [name, guard(callback)]));
}

/**
 * Creates an HTTP client for upstreams.
 *
 * @example
 * ```ts
 * const client = createUpstreamClient({connectTimeoutMs: 400, maxConnections: 64});
 * const response = await client.call({address: '127.0.0.1:8080', method: 'GET', path: '/', headers: [], body: undefined, signal, shouldUseNewConnection: false, shouldStillSend: () => true});
 * ```
 *
 * @param options Limits on connections
 * @returns The client
 */
export function createUpstreamClient(options: CreateUpstreamClientOptions): UpstreamClient {
	const limits = options.limits ?? createByteLimits();
	const meters = createConnectionMeters(limits);
	const resetDetector = createResetDetector(meters.watch);
	const connect = resetDetector.watch(buildConnector({timeout: options.connectTimeoutMs, allowHalfOpen: true}));
	// The response timeouts of undici are disabled: each call is limited by its own signal.
	const clientOptions = {
		connect, pipelining: 1, headersTimeout: 0, bodyTimeout: 0,
	};
	const agent = new Agent({...clientOptions, connections: options.maxConnections});

	async function dispatch(dispatcher: Dispatcher, call: UpstreamCall, onClosed: () => void): Promise<Result<UpstreamResponse, CallFailure>> {
		return new Promise(resolve => {
			let controller: Dispatcher.DispatchController | undefined;
			let queue: ReturnType<typeof createChunkQueue> | undefined;
			let meter: ConnectionMeter | undefined;
			let finalStatus: number | undefined;
			const abortCall = () => {
				if (controller) {
					controller.abort(new Error('The call was aborted'));
				} else {
					// The request is still queued for a connection and will not be written when it gets one, so the call can
					// end now.
					resolve(Err({kind: 'unsent', detail: 'The call was aborted before it was sent'}));
				}
			};

			const finish = () => {
				call.signal.removeEventListener('abort', abortCall);
				onClosed();
			};

			// Without a controller the request was never written, so the upstream cannot have run it.
			const fail = (detail: string) => {
				resolve(Err({kind: controller ? 'broken' : 'unsent', detail}));
				finish();
			};

			const failByException = (exception: unknown, started = controller) => {
				const error = normalizeException(exception);
				fail(error.message);
				queue?.discard(error.message);
				started?.abort(error);
			};

			const endQueue = async (pendingVerdict: Promise<boolean>) => {
				const wasReset = await pendingVerdict;
				runGuarded(() => {
					queue?.end(wasReset ? new Error('The connection was reset during a response without content-length') : undefined);
					finish();
				}, failByException);
			};

			const handler: Dispatcher.DispatchHandler = {
				onRequestStart(started) {
					// Nothing has been written yet. The upstream was selected before the request queued for a connection, and may
					// have left the fleet since.
					if (call.signal.aborted || !call.shouldStillSend()) {
						started.abort(new Error('The call was aborted before it was sent'));
						return;
					}

					controller = started;
				},
				onResponseStart(started, status, headers) {
					if (status < minFinalStatus) {
						return;
					}

					finalStatus = status;
					meter = meters.getActive();
					const opened = createChunkQueue({controller: started, gate: meter?.gate}, cut => limits.openHolder('received', cut));
					queue = opened;
					resolve(Ok({
						status, headers, rawHeaders: listRawHeaders(started.rawHeaders), chunks: opened.read(),
						abandon() {
							opened.discard('The response was abandoned');
							abortCall();
						},
					}));
				},
				onResponseData(_started, chunk) {
					meter?.recordBody(chunk.length);
					queue?.push(chunk);
				},
				onResponseEnd() {
					meter?.recordEnd();
					void endQueue(resetDetector.wasReset(call.address));
				},
				onResponseError(_started, error) {
					queue?.end(isBodyNotExpected(finalStatus, error) ? undefined : error);
					fail(error.message);
				},
			};
			runGuarded(() => {
				call.signal.addEventListener('abort', abortCall);
				dispatcher.dispatch({
					origin: `http://${call.address}`, method: call.method, path: call.path, headers: call.headers, body: call.body, reset: call.shouldUseNewConnection,
				}, guardHandler(handler, failByException));
			}, failByException);
		});
	}

	/** Opens a client for one call; undici throws if the address, which the upstream has registered, is none. */
	function openClient(call: UpstreamCall): Result<Client, CallFailure> {
		try {
			return Ok(new Client(`http://${call.address}`, clientOptions));
		} catch (error) {
			return Err({kind: 'unsent', detail: normalizeException(error).message});
		}
	}

	return {
		async call(call) {
			if (!call.shouldUseNewConnection) {
				return dispatch(agent, call, () => undefined);
			}

			// An upstream can close a reused connection while the request is being written, or send a late response to an
			// earlier request on it. In both cases the outcome is unknown and the request may not be repeated, so such a call
			// gets its own connection.
			const opened = openClient(call);
			if (opened.err) {
				return opened;
			}

			const client = opened.val;
			return dispatch(client, call, () => {
				void client.destroy();
			});
		},
		async close() {
			await agent.destroy();
		},
	};
}
