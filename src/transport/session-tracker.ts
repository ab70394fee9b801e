/**
 * Tracks the HTTP/2 connections of a server: what it holds for their calls, and
 * which of them may be closed to make room for another.
 *
 * @module
 */
import {
	Http2ServerRequest, type Http2Session, type ServerHttp2Session,
} from 'node:http2';
import type {ByteHolder, ByteLimits} from './byte-limits.js';

/** Options of {@linkcode createSessionTracker}. */
export type CreateSessionTrackerOptions = {
	/** Account of what is held; the connection that holds most is closed. */
	readonly limits: Pick<ByteLimits, 'openHolder'>;
	/** Maximum number of connections; beyond it, one that serves no call is closed. */
	readonly maxSessions: number;
	/** Called for each connection that is closed because of this maximum. */
	readonly onEvict: () => void;
};

type SessionState = {
	readonly holder: ByteHolder;
	/** Bytes held for its calls, of bodies those that are not received completely. */
	bytes: number;
	/** Number of calls that were received completely and have not ended. */
	serving: number;
};

/** Tracks the connections of a server. */
export type SessionTracker = ReturnType<typeof createSessionTracker>;

/** Memory of a call beside its body. */
const bytesPerCall = 4096;
/** Memory of a piece of a body beside its content: pieces may have one byte. */
const bytesPerPiece = 256;

/**
 * Creates a tracker.
 *
 * @example
 * ```ts
 * const tracker = createSessionTracker({limits, maxSessions: 250, onEvict});
 * const server = createServer({Http2ServerRequest: tracker.requestClass}, serve);
 * server.on('session', tracker.track);
 * ```
 *
 * @param options The limits and the eviction callback
 * @returns The tracker
 */
export function createSessionTracker({limits, maxSessions, onEvict}: CreateSessionTrackerOptions) {
	/** The connection comes first whose last call ended first, or that had none for longest. */
	const sessions = new Map<Http2Session, SessionState>();

	function addBytes(state: SessionState | undefined, bytes: number): void {
		if (state) {
			state.bytes += bytes;
			state.holder.set(state.bytes);
		}
	}

	function recordEnd(session: Http2Session, state: SessionState): void {
		state.serving -= 1;
		if (sessions.delete(session)) {
			sessions.set(session, state);
		}
	}

	function findUnused(): Http2Session | undefined {
		for (const [session, {serving}] of sessions) {
			if (serving === 0) {
				return session;
			}
		}

		return undefined;
	}

	/** A request whose pieces are counted as they are received, whether or not its reader keeps them. */
	class TrackedRequest extends Http2ServerRequest {
		readonly #state: SessionState | undefined;
		#bytes = 0;

		constructor(...parameters: ConstructorParameters<typeof Http2ServerRequest>) {
			super(...parameters);
			const [stream] = parameters;
			const {session} = stream;
			this.#state = session && sessions.get(session);
			this.#addBytes(bytesPerCall);
			let isServed = false;
			this.once('end', () => {
				this.#addBytes(bytesPerCall - this.#bytes);
				if (this.#state && !stream.closed) {
					isServed = true;
					this.#state.serving += 1;
				}
			});
			stream.once('close', () => {
				this.#addBytes(-this.#bytes);
				if (isServed) {
					recordEnd(session!, this.#state!);
				}
			});
		}

		override push(chunk: Uint8Array | null, encoding?: BufferEncoding): boolean { // eslint-disable-line @typescript-eslint/no-restricted-types
			if (chunk) {
				this.#addBytes(chunk.length + bytesPerPiece);
			}

			return super.push(chunk, encoding);
		}

		#addBytes(bytes: number): void {
			this.#bytes += bytes;
			addBytes(this.#state, bytes);
		}
	}

	return {
		/** Class of the requests of the server. */
		requestClass: TrackedRequest,

		/** Tracks a connection that was just accepted, and closes another if there are too many. */
		track(session: ServerHttp2Session): void {
			const holder = limits.openHolder('call', () => {
				session.destroy();
			});
			sessions.set(session, {holder, bytes: 0, serving: 0});
			session.once('close', () => {
				sessions.delete(session);
				holder.close();
			});
			const evicted = sessions.size > maxSessions ? findUnused() : undefined;
			if (evicted) {
				sessions.delete(evicted);
				evicted.destroy();
				onEvict();
			}
		},

		/** Returns the number of connections. */
		count: (): number => sessions.size,
	};
}
