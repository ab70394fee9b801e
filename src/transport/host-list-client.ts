/**
 * HTTP client of the platform's host list. The list can be out of date, so it is
 * only a hint.
 *
 * @module
 */
import {Agent, request} from 'undici';
import * as z from 'zod';
import {
	Err, Ok, createFailure, type Failure, type Result,
} from '../protocol/mod.js';

/** Schema of the host list. */
export const hostListSchema = z.object({
	hosts: z.array(z.object({
		/** ID of the daemon on the host. */
		id: z.string(),
		state: z.enum(['live', 'leaving']),
	})),
});

/** The host list. */
export type HostList = z.infer<typeof hostListSchema>;

const requestTimeoutMs = 2000;

/** Client of the host list; a separate type so that tests can replace the client. */
export type HostListClient = {
	readonly fetch: () => Promise<Result<HostList, Failure>>;
	readonly close: () => Promise<void>;
};

/**
 * Creates a client for the host list.
 *
 * @example
 * ```ts
 * const hosts = await createHostListClient('http://127.0.0.1:7001').fetch();
 * ```
 *
 * @param url Base URL of the host list
 * @returns The client
 */
export function createHostListClient(url: string): HostListClient {
	const dispatcher = new Agent({connections: 1});
	return {
		async fetch() {
			try {
				const response = await request(`${url}/v1/hosts`, {dispatcher, signal: AbortSignal.timeout(requestTimeoutMs)});
				return Ok(hostListSchema.parse(await response.body.json()));
			} catch (error) {
				return Err(createFailure('internal', `Failed to fetch the host list from ${url}: ${(error as Error).message}`));
			}
		},

		async close() {
			await dispatcher.destroy();
		},
	};
}
