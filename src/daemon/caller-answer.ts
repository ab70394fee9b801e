/**
 * Writes the answer to a caller to an HTTP response.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import type {ServerResponse} from 'node:http';
import type {CallerAnswer} from '../coordination/mod.js';
import {
	failureTable, formatProblem, type Failure, type GatewayWire,
} from '../protocol/mod.js';
import type {ByteHolder, ByteLimits} from '../transport/mod.js';

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

/** @internal Drops the headers of an upstream's answer whose head could not be written. */
function dropUpstreamHeaders(response: ServerResponse): void {
	for (const name of response.getHeaderNames()) {
		if (name !== 'connection') {
			response.removeHeader(name);
		}
	}
}

/** @internal Closes the connection. Responses to HTTP/1.0 end with their connection, so that only a reset shows that one is truncated. */
function truncate(response: ServerResponse): void {
	const {socket, httpVersion} = response.req;
	if (httpVersion === '1.0') {
		socket.resetAndDestroy();
	} else {
		socket.destroy();
	}
}

/**
 * Creates an answer that is written to an HTTP response.
 *
 * @example
 * ```ts
 * createCallerAnswer(response, wire, limits).refuse(createFailure('unknown-key', 'The key is unknown'));
 * ```
 *
 * @param response The response; nothing may have been written to it
 * @param wire Wire format of the headers
 * @param limits Limits of the process on held bytes; if undefined, what is held for the caller is not counted
 * @returns The answer
 */
export function createCallerAnswer(response: ServerResponse, wire: GatewayWire, limits?: Pick<ByteLimits, 'openHolder'>): CallerAnswer {
	let holder: ByteHolder | undefined;
	let unsentBytes = 0;
	let wasCut = false;

	function countUnsent(change: number): void {
		unsentBytes += change;
		holder?.set(unsentBytes);
	}

	function cut(): void {
		wasCut ||= !response.writableFinished && !response.destroyed;
		truncate(response);
	}

	// The connection is observed as well: a response that waits for an earlier one on its connection is not closed with it.
	function openHolder(openOne: ByteLimits['openHolder']): ByteHolder {
		const {socket} = response.req;
		const opened = openOne('unsent', cut);
		const close = () => {
			opened.close();
			socket.off('close', close);
			response.off('close', close);
		};

		socket.once('close', close);
		response.once('close', close);
		return opened;
	}

	function recordWrite(bytes: number): void {
		if (limits && !response.destroyed && !response.req.socket.destroyed) {
			holder ??= openHolder(limits.openHolder);
			countUnsent(bytes);
		}
	}

	return {
		hasStarted: () => response.headersSent,
		hasEnded: () => response.writableEnded,
		start(status, headers) {
			response.writeHead(status, [...headers]);
			response.flushHeaders();
		},
		async write(bytes) {
			recordWrite(bytes.length);
			if (response.destroyed) {
				return;
			}

			const isDrained = response.write(bytes, () => {
				countUnsent(-bytes.length);
			});
			if (!isDrained && !response.destroyed) {
				await waitUntilDrained(response);
			}
		},
		end(bytes) {
			recordWrite(bytes?.length ?? 0);
			response.end(bytes);
		},
		wasCut: () => wasCut,
		abort: cut,
		refuse(failure: Failure) {
			if (response.headersSent || response.destroyed) {
				return;
			}

			dropUpstreamHeaders(response);
			const body = Buffer.from(JSON.stringify(formatProblem(failure)));
			const retryAfterHeader = failure.retryAfterMs === undefined ? [] : wire.formatRetryAfter(failure.retryAfterMs);
			response.writeHead(failureTable[failure.type].status, ['Content-Type', 'application/problem+json', 'Content-Length', String(body.length), ...retryAfterHeader]);
			response.end(body);
		},
	};
}
