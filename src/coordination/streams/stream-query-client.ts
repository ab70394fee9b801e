/**
 * Queries other gateways for the version that began a stream.
 *
 * @module
 */
import {
	Err, Ok, createFailure, type FindStreamReply,
} from '../../protocol/mod.js';
import type {FleetClient} from '../../transport/mod.js';
import {decodeOrigin} from './origin-codec.js';
import type {CreateStreamResolverOptions, StreamAnswer} from './stream-resolver.js';

/** Options of {@linkcode createStreamQueryClient}. */
export type CreateStreamQueryClientOptions = {
	/** Connections to other gateways that carry no other calls, since one that does not answer at once is abandoned. */
	readonly fleet: FleetClient;
};

/** Timeouts of the first query to a peer and of the second, which is sent on a new connection. */
const queryTimeoutsMs = [100, 300] as const;

/** @internal */
function readStreamAnswer({origin, ageMs, only}: FindStreamReply): StreamAnswer {
	return {
		record: origin && {origin: decodeOrigin(origin), ageMs},
		only: only?.origin && {
			origin: decodeOrigin(only.origin), sinceAgeMs: only.sinceAgeMs, viewAgeMs: only.viewAgeMs,
		},
	};
}

/**
 * Creates a client for queries about streams.
 *
 * @example
 * ```ts
 * const queryPeer = createStreamQueryClient({fleet});
 * const answer = await queryPeer(peer, {stream: 'a-1', routeKey: undefined});
 * ```
 *
 * @param options The client of the fleet
 * @returns The function that queries a gateway; it fails if neither query is answered in time
 */
export function createStreamQueryClient({fleet}: CreateStreamQueryClientOptions): CreateStreamResolverOptions['queryPeer'] {
	return async (peer, {stream = '', routeKey = ''}) => {
		let detail = '';
		for (const timeoutMs of queryTimeoutsMs) {
			// Several queries share a connection; each abandons only the one on which it was not answered.
			const connection = fleet.connect(peer.address);
			try {
				return Ok(readStreamAnswer(await connection.gateway.findStream({stream, route: routeKey}, {timeoutMs})));
			} catch (error) {
				detail = (error as Error).message;
				// A connection can go silent for good while new ones work.
				connection.abandon();
			}
		}

		return Err(createFailure('no-upstream', `Gateway "${peer.daemon}" does not say what it knows of stream "${stream}": ${detail}`));
	};
}
