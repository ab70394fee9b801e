/**
 * Tracks what a server holds for the calls of its HTTP/2 connections.
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
};

type SessionState = {
	readonly holder: ByteHolder;
	/** Bytes held for its calls. */
	bytes: number;
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
 * const tracker = createSessionTracker({limits});
 * const server = createServer({Http2ServerRequest: tracker.requestClass}, serve);
 * server.on('session', tracker.track);
 * ```
 *
 * @param options The limits
 * @returns The tracker
 */
export function createSessionTracker({limits}: CreateSessionTrackerOptions) {
	const sessions = new Map<Http2Session, SessionState>();

	function addBytes(state: SessionState | undefined, bytes: number): void {
		if (state) {
			state.bytes += bytes;
			state.holder.set(state.bytes);
		}
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
			stream.once('close', () => {
				this.#addBytes(-this.#bytes);
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

		/** Tracks a connection that was just accepted. */
		track(session: ServerHttp2Session): void {
			const holder = limits.openHolder('call', () => {
				session.destroy();
			});
			sessions.set(session, {holder, bytes: 0});
			session.once('close', () => {
				sessions.delete(session);
				holder.close();
			});
		},
	};
}
