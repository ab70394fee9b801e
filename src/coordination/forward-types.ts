/**
 * What a request is to those who forward it.
 *
 * @module
 */
import type {
	Failure, Generation, RawHeaders, Route, GatewayService,
} from '../protocol/mod.js';

/** The way back to the caller. */
export type CallerAnswer = {
	/** True once a status was sent: from then on the answer can only go on or be cut. */
	readonly hasStarted: () => boolean;
	readonly start: (status: number, headers: RawHeaders) => void;
	/** Writes a piece; what it returns is to be waited for while the caller reads too slowly. */
	readonly write: (bytes: Uint8Array) => Promise<void> | undefined;
	readonly end: (bytes?: Uint8Array) => void;
	/** Breaks the connection, so that the answer cannot look complete. */
	readonly cut: () => void;
	/** Answers with a failure of the gateway's own. */
	readonly refuse: (failure: Failure) => void;
};

/** A request that was admitted. */
export type ForwardRequest = {
	readonly id: string | undefined;
	/** Digest of what makes it the same request when it is sent again. */
	readonly digest: string;
	readonly route: Route;
	readonly service: GatewayService;
	readonly customer: string | undefined;
	readonly priority: number;
	readonly method: string;
	/** Path with query. */
	readonly path: string;
	readonly rawHeaders: RawHeaders;
	readonly body: Uint8Array | undefined;
	readonly generation: Generation | undefined;
	readonly lastEvent: string | undefined;
	/** When the request began, in milliseconds of the steady clock. */
	readonly startedAt: number;
	/** When it must have its final answer, in milliseconds of the steady clock. */
	readonly deadline: number;
	/** Aborted when the caller has left or the deadline has passed. */
	readonly signal: AbortSignal;
	readonly answer: CallerAnswer;
};

/** Why a request came to its end. */
export type ForwardResult = 'served' | 'passed-on' | 'refused' | 'failed' | 'cut';

/** What became of a request. */
export type ForwardReport = {
	readonly result: ForwardResult;
	/** The upstream that was sent to last. */
	readonly upstream: string | undefined;
	/** Upstreams that it was sent to. */
	readonly sends: number;
	/** An upstream may have begun to work on it. */
	readonly mayHaveRun: boolean;
	/** Events of a stream that the caller got. */
	readonly events: number;
	/** Milliseconds to the first event or the whole answer. */
	readonly firstMs: number | undefined;
	/** Tokens believed to be queued at that upstream when it was chosen. */
	readonly waitingTokens: number | undefined;
	/** Tokens of the prompt that it was believed to keep. */
	readonly cachedTokens: number | undefined;
	/** That upstream was no longer listed when it was chosen, and took requests for a grace only. */
	readonly isOnGrace: boolean | undefined;
	/** Age of what was known of upstreams when it was chosen, in milliseconds. */
	readonly viewMs: number | undefined;
	readonly reason?: string;
};
