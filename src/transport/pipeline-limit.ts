/**
 * Bounds what an HTTP server holds for callers who send requests ahead of the
 * answers.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import type {ByteHolder, ByteLimits} from './byte-limits.js';

/** Options of {@linkcode installPipelineLimit}. */
export type InstallPipelineLimitOptions = {
	/** Number of unanswered requests of a connection at which no further ones are parsed; default 8. */
	readonly maxUnanswered?: number | undefined;
	/** Account of what is held; the connection that holds most is closed. */
	readonly limits: Pick<ByteLimits, 'openHolder'>;
};

/** What an HTTP server does with the requests of one connection. */
export type Pipeline = {
	/** Number of requests whose answers have not been handed to the operating system. */
	unanswered: number;
	/** Whether the newest request has been received completely; true without one. */
	isNewestComplete: boolean;
	/** Whether the parser is not within the headers of a request. */
	isBetweenHeaders: boolean;
};

const defaultMaxUnanswered = 8;
/** Memory of a request with its response and its log lines. */
const bytesPerRequest = 8192;
/** Parsed headers are many short strings, which take more memory than their text. */
const bytesPerHeaderByte = 4;
/** Most that is parsed at once. */
const maxPieceBytes = 4096;
/** Beyond this multiple of the limit nothing is parsed, even within headers. */
const maxOverrun = 4;
const headersEnd = '\r\n\r\n';

/**
 * Decides whether the parsing of a connection waits for answers.
 *
 * Headers are parsed to their end, as their timeout runs while the parser is
 * within them. A body is parsed too, unless its request is one more than the
 * limit: a request at the limit may be the only one whose answer can be sent.
 *
 * @example
 * ```ts
 * isPipelineFull({unanswered: 8, isNewestComplete: true, isBetweenHeaders: true}, 8); // true
 * ```
 *
 * @param pipeline The requests of the connection
 * @param maxUnanswered The limit
 * @returns True if it waits
 */
export function isPipelineFull({unanswered, isNewestComplete, isBetweenHeaders}: Pipeline, maxUnanswered: number): boolean {
	const isFull = isNewestComplete ? unanswered >= maxUnanswered : unanswered > maxUnanswered;
	return (isBetweenHeaders && isFull) || unanswered > maxUnanswered * maxOverrun;
}

/** @internal Returns the position after the first end of headers from a position on. */
function findHeadersEnd(bytes: Uint8Array, from: number): number | undefined {
	const at = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length).indexOf(headersEnd, from, 'latin1');
	return at === -1 ? undefined : at + headersEnd.length;
}

/**
 * Finds the end of the bytes that are parsed next: the first end of headers, so
 * that the next request can wait, but not too many.
 *
 * @example
 * ```ts
 * findPieceEnd(Buffer.from('GET / HTTP/1.1\r\nHost: a\r\n\r\nGET')); // 27
 * ```
 *
 * @param bytes The received bytes
 * @returns Position after the last of them
 */
export function findPieceEnd(bytes: Uint8Array): number {
	return Math.min(findHeadersEnd(bytes, 0) ?? bytes.length, maxPieceBytes);
}

/** @internal Returns whether bytes may hold more than one request. */
function hasSeveral(bytes: Uint8Array): boolean {
	const endsAt = findHeadersEnd(bytes, 0);
	return bytes.length > maxPieceBytes || (endsAt !== undefined && findHeadersEnd(bytes, endsAt) !== undefined);
}

/** @internal */
function isEndOfHeaders(bytes: Uint8Array): boolean {
	return findHeadersEnd(bytes, Math.max(0, bytes.length - headersEnd.length)) === bytes.length;
}

/** @internal Stands between the socket of a connection and the parser of its requests. */
function createConnectionGate(socket: Socket, {maxUnanswered = defaultMaxUnanswered, limits}: InstallPipelineLimitOptions) {
	const [parse] = socket.listeners('data') as Array<(bytes: Uint8Array) => void>;
	/** What has been received and not been parsed. */
	let backlog: Uint8Array | undefined;
	let unanswered = 0;
	let requestCount = 0;
	let newest: IncomingMessage | undefined;
	let isBetweenHeaders = true;
	/** Bytes of headers whose end has not been parsed. */
	let headerBytes = 0;
	/** True while the connection is not read because of the limit. The HTTP server stops the reading for reasons of its own. */
	let isHolding = false;
	/** Whether bytes may be read now that arrived while the connection was not read. */
	let wasHeld = false;
	let lastReadAt = 0;
	/** Earliest time at which the bytes being parsed can have arrived; undefined if they have not waited. */
	let waitingSince: number | undefined;
	let holder: ByteHolder | undefined;

	const isFull = () => isPipelineFull({unanswered, isNewestComplete: newest?.complete ?? true, isBetweenHeaders}, maxUnanswered);

	function updateAccount(): void {
		const bytes = (backlog?.length ?? 0) + (Math.max(0, unanswered - 1) * bytesPerRequest) + (headerBytes * bytesPerHeaderByte);
		if (bytes === 0) {
			holder?.close();
			holder = undefined;
		} else {
			holder ??= limits.openHolder('ahead', () => {
				socket.destroy();
			});
			holder.set(bytes);
		}
	}

	function parsePiece(piece: Uint8Array): void {
		const countBefore = requestCount;
		const isWithinHeaders = newest?.complete ?? true;
		parse!(piece);
		headerBytes = requestCount === countBefore && isWithinHeaders ? headerBytes + piece.length : 0;
	}

	function parseBacklog(): void {
		while (backlog && !socket.destroyed && !socket.isPaused() && !isFull()) {
			const piece = backlog.subarray(0, findPieceEnd(backlog));
			backlog = piece.length < backlog.length ? backlog.subarray(piece.length) : undefined;
			isBetweenHeaders = isEndOfHeaders(piece);
			parsePiece(piece);
			updateAccount();
		}

		if (backlog) {
			waitingSince ??= lastReadAt;
			wasHeld = true;
			if (isFull()) {
				isHolding = true;
				socket.pause();
			}
		}

		updateAccount();
	}

	function receive(bytes: Uint8Array): void {
		if (!backlog) {
			waitingSince = wasHeld ? lastReadAt : undefined;
			wasHeld = false;
		}

		lastReadAt = performance.now();
		if (!backlog && !isFull() && !hasSeveral(bytes)) {
			isBetweenHeaders = isEndOfHeaders(bytes);
			parsePiece(bytes);
			updateAccount();
			return;
		}

		backlog = backlog ? Buffer.concat([backlog, bytes]) : bytes;
		parseBacklog();
	}

	socket.removeListener('data', parse!);
	socket.on('data', receive);
	/** What arrived while the connection was not read has been read soon after. */
	async function forgetHold(): Promise<void> {
		await nextTurn();
		await nextTurn();
		wasHeld = backlog !== undefined;
	}

	socket.on('resume', () => {
		if (isHolding) {
			socket.pause();
			return;
		}

		parseBacklog();
		if (wasHeld && !backlog) {
			void forgetHold();
		}
	});
	socket.once('close', () => {
		backlog = undefined;
		holder?.close();
	});

	return {
		track(request: IncomingMessage, response: ServerResponse): void {
			requestCount += 1;
			unanswered += 1;
			newest = request;
			response.once('close', () => {
				unanswered -= 1;
				updateAccount();
				if (isHolding && !isFull()) {
					isHolding = false;
					socket.resume();
				}
			});
		},

		/** Returns the longest time for which the request being parsed may have waited because of the limit, in milliseconds. */
		computeWaitMs: (): number => waitingSince === undefined ? 0 : performance.now() - waitingSince,
	};
}

/**
 * Makes an HTTP server parse no further requests of a connection while it has
 * many unanswered ones: the caller's system holds them back until answers are
 * read. Node.js alone parses all that it has read at once, thousands of short
 * requests, and stops only once unread answers fill its buffers.
 *
 * To be called before other listeners for requests are added.
 *
 * @example
 * ```ts
 * const server = createServer();
 * installPipelineLimit(server, {maxUnanswered: 8, limits});
 * ```
 *
 * @param server The server, which has accepted no connection yet
 * @param options The limit, and the account of what is held
 * @returns Returns how long a request may have waited because of the limit
 */
export function installPipelineLimit(server: Server, options: InstallPipelineLimitOptions) {
	const gates = new WeakMap<Socket, ReturnType<typeof createConnectionGate>>();
	server.on('connection', (socket: Socket) => {
		gates.set(socket, createConnectionGate(socket, options));
	});
	server.on('request', (request: IncomingMessage, response: ServerResponse) => {
		gates.get(request.socket)?.track(request, response);
	});
	// Without a listener the server answers by itself, and the answers to all such requests that were sent ahead are queued.
	server.on('checkExpectation', (_request: IncomingMessage, response: ServerResponse) => {
		response.writeHead(417, {connection: 'close'});
		response.end();
	});
	return {
		/** Returns the longest time for which a request that was just parsed may have waited because of the limit, in milliseconds. */
		computeWaitMs: (socket: Socket): number => gates.get(socket)?.computeWaitMs() ?? 0,
	};
}
