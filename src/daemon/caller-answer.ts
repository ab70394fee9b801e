/**
 * The way back to a caller over an HTTP response.
 *
 * @module
 */
import {once} from 'node:events';
import type {ServerResponse} from 'node:http';
import type {CallerAnswer} from '../coordination/mod.js';
import {
	failureTable, formatProblem, type Failure, type GatewayWire,
} from '../protocol/mod.js';

/** @internal Waits until the caller has read on or left; each wait takes its listeners away, as a long stream waits often. */
async function waitForReader(response: ServerResponse): Promise<void> {
	const over = new AbortController();
	const {signal} = over;
	try {
		await Promise.race([once(response, 'drain', {signal}), once(response, 'close', {signal})]);
	} finally {
		over.abort();
	}
}

/**
 * Creates the way back to a caller.
 *
 * @example
 * ```ts
 * createCallerAnswer(response, wire).refuse(createFailure('unknown-key', 'The key is unknown'));
 * ```
 *
 * @param response The response; nothing may have been written to it
 * @param wire Names on the wire
 * @returns The way back
 */
export function createCallerAnswer(response: ServerResponse, wire: GatewayWire): CallerAnswer {
	return {
		hasStarted: () => response.headersSent,
		start(status, headers) {
			response.writeHead(status, [...headers]);
			response.flushHeaders();
		},
		write: async bytes => response.write(bytes) || response.destroyed ? undefined : waitForReader(response),
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
			const again = failure.retryAfterMs === undefined ? [] : wire.formatRetryAfter(failure.retryAfterMs);
			response.writeHead(failureTable[failure.type].status, ['Content-Type', 'application/problem+json', 'Content-Length', String(body.length), ...again]);
			response.end(body);
		},
	};
}
