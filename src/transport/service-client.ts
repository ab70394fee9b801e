/**
 * Client of a plain service, some of whose calls may not be repeated.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {Agent, request} from 'undici';
import {
	Err, Ok, createFailure, type Failure, type Result,
} from '../protocol/mod.js';

/** A service's whole answer. */
export type ServiceAnswer = {readonly status: number; readonly body: Uint8Array};

/** A call of a service. */
export type ServiceCall = {
	readonly service: string;
	readonly body: Uint8Array;
	/** Milliseconds until the caller's deadline. */
	readonly timeout: number;
};

/** Client of one plain service host. */
export type ServiceClient = {
	readonly call: (call: ServiceCall) => Promise<Result<ServiceAnswer, Failure>>;
	readonly isAlive: () => Promise<boolean>;
	readonly close: () => Promise<void>;
};

const connectTimeout = 2000;
const okStatus = 200;
const neverSent: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

/** @internal */
function explainCall(error: unknown, call: ServiceCall): Failure {
	const {code, message} = error as {code?: string; message: string};
	// Only an error from before the connection stood proves that the service saw nothing.
	if (neverSent.has(code ?? '')) {
		return createFailure('no-upstream', `Service "${call.service}" cannot be reached: ${message}`, {retryAfterMs: 1000});
	}

	return createFailure('outcome-unknown', `The connection to service "${call.service}" broke before its answer: ${message}`, {ran: 'unknown'});
}

/**
 * Creates a client of a plain service host.
 *
 * Every call opens a connection of its own: on a kept connection that the
 * service is just closing, a failed write does not tell whether the call ran.
 *
 * @example
 * ```ts
 * const answer = await createServiceClient('http://127.0.0.1:8100').call({service: 'slots', body, timeout: 5000});
 * ```
 *
 * @param url The service's address
 * @returns The client
 */
export function createServiceClient(url: string): ServiceClient {
	const dispatcher = new Agent({pipelining: 0, connect: {timeout: connectTimeout}});
	return {
		async call(call) {
			try {
				const answer = await request(`${url}/v1/services/${call.service}`, {
					method: 'POST', dispatcher, body: Buffer.from(call.body), signal: AbortSignal.timeout(Math.ceil(call.timeout)),
					headers: {'content-type': 'application/json'},
				});
				return Ok({status: answer.statusCode, body: new Uint8Array(await answer.body.arrayBuffer())});
			} catch (error) {
				return Err(explainCall(error, call));
			}
		},

		async isAlive() {
			try {
				const answer = await request(`${url}/healthz`, {dispatcher, signal: AbortSignal.timeout(connectTimeout)});
				await answer.body.dump();
				return answer.statusCode === okStatus;
			} catch {
				return false;
			}
		},

		async close() {
			await dispatcher.destroy();
		},
	};
}
