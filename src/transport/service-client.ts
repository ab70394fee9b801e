/**
 * HTTP client of a plain service, some of whose calls may not be repeated.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {Agent, request} from 'undici';
import {
	Err, Ok, createFailure, type Failure, type Result,
} from '../protocol/mod.js';

/** The complete response of a service. */
export type ServiceResponse = {readonly status: number; readonly body: Uint8Array};

/** A call to a service. */
export type ServiceCall = {
	readonly service: string;
	readonly body: Uint8Array;
	/** Milliseconds until the caller's deadline. */
	readonly timeoutMs: number;
};

/** Client of a plain service on one host. */
export type ServiceClient = {
	readonly call: (call: ServiceCall) => Promise<Result<ServiceResponse, Failure>>;
	readonly isAlive: () => Promise<boolean>;
	readonly close: () => Promise<void>;
};

const connectTimeoutMs = 2000;
const okStatus = 200;
const unsentErrorCodes: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

/** @internal */
function createCallFailure(error: unknown, call: ServiceCall): Failure {
	const {code, message} = error as {code?: string; message: string};
	// Only an error while connecting proves that the service has received nothing.
	if (unsentErrorCodes.has(code ?? '')) {
		return createFailure('no-upstream', `Service "${call.service}" is unreachable: ${message}`, {retryAfterMs: 1000});
	}

	return createFailure('outcome-unknown', `The connection to service "${call.service}" failed before the response was complete: ${message}`, {ran: 'unknown'});
}

/**
 * Creates a client for a plain service on one host.
 *
 * Every call opens a new connection: if the service closes a reused connection
 * while a request is being written, it is unknown whether the call ran.
 *
 * @example
 * ```ts
 * const response = await createServiceClient('http://127.0.0.1:8100').call({service: 'slots', body, timeoutMs: 5000});
 * ```
 *
 * @param url URL of the service
 * @returns The client
 */
export function createServiceClient(url: string): ServiceClient {
	const dispatcher = new Agent({pipelining: 0, connect: {timeout: connectTimeoutMs}});
	return {
		async call(call) {
			try {
				const response = await request(`${url}/v1/services/${call.service}`, {
					method: 'POST', dispatcher, body: Buffer.from(call.body), signal: AbortSignal.timeout(Math.ceil(call.timeoutMs)),
					headers: {'content-type': 'application/json'},
				});
				return Ok({status: response.statusCode, body: new Uint8Array(await response.body.arrayBuffer())});
			} catch (error) {
				return Err(createCallFailure(error, call));
			}
		},

		async isAlive() {
			try {
				const response = await request(`${url}/healthz`, {dispatcher, signal: AbortSignal.timeout(connectTimeoutMs)});
				await response.body.dump();
				return response.statusCode === okStatus;
			} catch {
				return false;
			}
		},

		async close() {
			await dispatcher.destroy();
		},
	};
}
