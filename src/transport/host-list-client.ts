/**
 * Client of the platform's host list, which lags and so is only a hint.
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
		/** The daemon on the host. */
		id: z.string(),
		state: z.enum(['live', 'leaving']),
	})),
});

/** The host list. */
export type HostList = z.infer<typeof hostListSchema>;

const timeout = 2000;

/** Client of the host list; an interface so that tests can stand in for it. */
export type HostListClient = {
	readonly fetch: () => Promise<Result<HostList, Failure>>;
	readonly close: () => Promise<void>;
};

/**
 * Creates a client of the host list.
 *
 * @example
 * ```ts
 * const hosts = await createHostListClient('http://127.0.0.1:7001').fetch();
 * ```
 *
 * @param url The host list's address
 * @returns The client
 */
export function createHostListClient(url: string): HostListClient {
	const dispatcher = new Agent({connections: 1});
	return {
		async fetch() {
			try {
				const answer = await request(`${url}/v1/hosts`, {dispatcher, signal: AbortSignal.timeout(timeout)});
				return Ok(hostListSchema.parse(await answer.body.json()));
			} catch (error) {
				return Err(createFailure('internal', `The host list at ${url} does not answer: ${(error as Error).message}`));
			}
		},

		async close() {
			await dispatcher.destroy();
		},
	};
}
