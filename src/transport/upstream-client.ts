/**
 * Client of upstreams that are reached directly over HTTP.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders} from 'node:http';
import type {Socket} from 'node:net';
import {
	Agent, Client, buildConnector, type Dispatcher,
} from 'undici';
import {
	Err, Ok, type RawHeaders, type Result,
} from '../protocol/mod.js';

/** A request to one upstream. */
export type UpstreamCall = {
	/** IP number and port. */
	readonly address: string;
	readonly method: string;
	/** Path with query. */
	readonly path: string;
	readonly headers: string[];
	readonly body: Uint8Array | undefined;
	/** Gives the call up. */
	readonly signal: AbortSignal;
	/** Use a connection that carried nothing before; for requests that may not be repeated. */
	readonly isAlone: boolean;
	/** Asked when a connection is there, which may be seconds after the call; false gives the call up unsent. */
	readonly isStillWanted: () => boolean;
};

/** Why a call brought no answer: nothing was sent, or the upstream may have run it. */
export type CallFailure = {readonly kind: 'unsent' | 'broken'; readonly detail: string};

/** An answer whose head has arrived. */
export type UpstreamAnswer = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly rawHeaders: RawHeaders;
	/** The body's chunks; throws when the upstream breaks off. */
	readonly chunks: AsyncIterableIterator<Uint8Array>;
	/** Gives the rest up and closes the connection. */
	readonly abandon: () => void;
};

/** Calls upstreams. */
export type UpstreamClient = {
	readonly call: (call: UpstreamCall) => Promise<Result<UpstreamAnswer, CallFailure>>;
	readonly close: () => Promise<void>;
};

/** Options of {@linkcode createUpstreamClient}. */
export type CreateUpstreamClientOptions = {
	/** Milliseconds for a new connection; a dark upstream answers no opening packet. */
	readonly connectTimeout: number;
	/** Connections kept to one upstream. */
	readonly connections: number;
};

/** Bytes that wait for a slow reader before the upstream is paused. */
const pauseAbove = 65_536;

/** @internal */
function createChunkQueue(controller: Dispatcher.DispatchController) {
	const chunks: Uint8Array[] = [];
	let size = 0;
	let hasEnded = false;
	let failure: Error | undefined;
	let wake: () => void = () => undefined;

	async function waitForNews(): Promise<void> {
		return new Promise(resolve => {
			wake = resolve;
		});
	}

	return {
		push(chunk: Uint8Array): void {
			chunks.push(chunk);
			size += chunk.length;
			if (size > pauseAbove) {
				controller.pause();
			}

			wake();
		},
		end(error?: Error): void {
			hasEnded = true;
			failure = error;
			wake();
		},
		async * read(): AsyncIterableIterator<Uint8Array> {
			for (;;) {
				const chunk = chunks.shift();
				if (chunk) {
					size -= chunk.length;
					if (controller.paused && size <= pauseAbove) {
						controller.resume();
					}

					yield chunk;
				} else if (failure) {
					throw failure;
				} else if (hasEnded) {
					return;
				} else {
					await waitForNews();
				}
			}
		},
	};
}

/**
 * @internal Tells the end of an answer without a length from a reset, which a
 * caller must not take for a whole answer. It shows in two ways. undici takes
 * the reset, an error of the socket, for the end; and the event loop reports
 * an end and no error when bytes and reset have waited together. These
 * listeners come before undici's: they note the error within its event, and
 * after an end they write. A connection that was reset refuses the write at
 * once; one that the upstream has closed takes it.
 */
function createResetWatch() {
	const verdicts = new Map<string, Promise<boolean>>();

	function note(address: string, verdict: Promise<boolean>): void {
		verdicts.set(address, verdict);
		queueMicrotask(() => {
			verdicts.delete(address);
		});
	}

	async function probe(socket: Socket): Promise<boolean> {
		return new Promise(resolve => {
			socket.write('\r\n', error => {
				resolve(error instanceof Error);
			});
		});
	}

	return {
		/** To be asked within the event that ended an answer: whether its connection was reset. */
		wasReset: async (address: string): Promise<boolean> => verdicts.get(address) ?? false,
		watch: (connector: buildConnector.connector): buildConnector.connector => (options, callback) => {
			connector(options, (...result) => {
				const [, socket] = result;
				const address = `${options.hostname}:${options.port}`;
				socket?.on('error', () => {
					note(address, Promise.resolve(true));
				});
				socket?.on('end', () => {
					note(address, probe(socket));
				});
				callback(...result);
			});
		},
	};
}

/** @internal */
function listRawHeaders(raw: unknown): string[] {
	return Array.isArray(raw) ? raw.map(item => Buffer.from(item as Uint8Array).toString('latin1')) : [];
}

/**
 * Creates a client of upstreams.
 *
 * @example
 * ```ts
 * const client = createUpstreamClient({connectTimeout: 400, connections: 64});
 * const answer = await client.call({address: '127.0.0.1:8080', method: 'GET', path: '/', headers: [], body: undefined, signal, isAlone: false, isStillWanted: () => true});
 * ```
 *
 * @param options Bounds on connections
 * @returns The client
 */
export function createUpstreamClient(options: CreateUpstreamClientOptions): UpstreamClient {
	const resets = createResetWatch();
	const connect = resets.watch(buildConnector({timeout: options.connectTimeout, allowHalfOpen: true}));
	// Time bounds are the caller's own, by its signal.
	const shared = {
		connect, pipelining: 1, headersTimeout: 0, bodyTimeout: 0,
	};
	const agent = new Agent({...shared, connections: options.connections});

	async function dispatch(dispatcher: Dispatcher, call: UpstreamCall, onClosed: () => void): Promise<Result<UpstreamAnswer, CallFailure>> {
		return new Promise(resolve => {
			let controller: Dispatcher.DispatchController | undefined;
			let queue: ReturnType<typeof createChunkQueue> | undefined;
			const abandon = () => {
				if (controller) {
					controller.abort(new Error('The call was given up'));
				} else {
					// It waits for a connection and is not written once it gets one; nobody need wait for that.
					resolve(Err({kind: 'unsent', detail: 'The call was given up before it was sent'}));
				}
			};

			const finish = () => {
				call.signal.removeEventListener('abort', abandon);
				onClosed();
			};

			const endQueue = async (verdict: Promise<boolean>) => {
				const wasReset = await verdict;
				queue?.end(wasReset ? new Error('The connection was reset in an answer without a length') : undefined);
				finish();
			};

			const handler: Dispatcher.DispatchHandler = {
				onRequestStart(started) {
					// Nothing has been written yet, and a request that waited for its connection was sent here on what was known
					// when it began to wait: its upstream may have left since.
					if (call.signal.aborted || !call.isStillWanted()) {
						started.abort(new Error('The call was given up before it was sent'));
						return;
					}

					controller = started;
				},
				onResponseStart(started, status, headers) {
					queue = createChunkQueue(started);
					resolve(Ok({
						status, headers, rawHeaders: listRawHeaders(started.rawHeaders), chunks: queue.read(), abandon,
					}));
				},
				onResponseData(_started, chunk) {
					queue?.push(chunk);
				},
				onResponseEnd() {
					void endQueue(resets.wasReset(call.address));
				},
				onResponseError(_started, error) {
					queue?.end(error);
					// A request that waits for a connection has not been written: it has not run and never will.
					resolve(Err({kind: controller ? 'broken' : 'unsent', detail: error.message}));
					finish();
				},
			};
			call.signal.addEventListener('abort', abandon);
			dispatcher.dispatch({
				origin: `http://${call.address}`, method: call.method, path: call.path, headers: call.headers, body: call.body, reset: call.isAlone,
			}, handler);
		});
	}

	return {
		async call(call) {
			if (!call.isAlone) {
				return dispatch(agent, call, () => undefined);
			}

			// A kept connection can be closed by the upstream as the request is written, or still bring an answer to an
			// earlier request. Either leaves the outcome unknown, and a request that may not be repeated is then lost.
			const client = new Client(`http://${call.address}`, shared);
			return dispatch(client, call, () => {
				void client.destroy();
			});
		},
		async close() {
			await agent.destroy();
		},
	};
}
