/**
 * Writes the answer to a caller to an HTTP response.
 *
 * @module
 */
import {once} from 'node:events';
import type {ServerResponse} from 'node:http';
import type {CallerAnswer} from '../coordination/mod.js';
import {
	failureTable, formatProblem, type Failure, type GatewayWire,
} from '../protocol/mod.js';

/** @internal Waits until buffered data has been sent or the caller has disconnected. Removes its listeners, as a long stream waits many times. */
async function waitUntilDrained(response: ServerResponse): Promise<void> {
	const stopListening = new AbortController();
	const {signal} = stopListening;
	try {
		await Promise.race([once(response, 'drain', {signal}), once(response, 'close', {signal})]);
	} finally {
		stopListening.abort();
	}
}

/**
 * Creates an answer that is written to an HTTP response.
 *
 * @example
 * ```ts
 * createCallerAnswer(response, wire).refuse(createFailure('unknown-key', 'The key is unknown'));
 * ```
 *
 * @param response The response; nothing may have been written to it
 * @param wire Wire format of the headers
 * @returns The answer
 */
export function createCallerAnswer(response: ServerResponse, wire: GatewayWire): CallerAnswer {
	return {
		hasStarted: () => response.headersSent,
		start(status, headers) {
			response.writeHead(status, [...headers]);
			response.flushHeaders();
		},
		write: async bytes => response.write(bytes) || response.destroyed ? undefined : waitUntilDrained(response),
		end(bytes) {
			response.end(bytes);
		},
		abort() {
			response.destroy();
		},
		refuse(failure: Failure) {
			if (response.headersSent || response.destroyed) {
				return;
			}

			const body = JSON.stringify(formatProblem(failure));
			const retryAfterHeader = failure.retryAfterMs === undefined ? [] : wire.formatRetryAfter(failure.retryAfterMs);
			response.writeHead(failureTable[failure.type].status, ['Content-Type', 'application/problem+json', 'Content-Length', String(body.length), ...retryAfterHeader]);
			response.end(body);
		},
	};
}
