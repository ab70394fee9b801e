/**
 * Types of a request that is forwarded to upstreams.
 *
 * @module
 */
import type {
	Failure, GenerationParameters, RawHeaders, Route, GatewayService,
} from '../../protocol/mod.js';
import type {StreamOrigin} from '../../state/mod.js';
import type {PartKey} from '../quarantine/part-keys.js';

/** Writes the answer to the caller. */
export type CallerAnswer = {
	/** Returns true once the status has been sent. From then on the answer can only be continued or aborted. */
	readonly hasStarted: () => boolean;
	/** Returns true once the whole answer has been passed on for writing. */
	readonly hasEnded: () => boolean;
	readonly start: (status: number, headers: RawHeaders) => void;
	/** Writes data. Returns a promise to wait for if the caller reads too slowly (backpressure). */
	readonly write: (bytes: Uint8Array) => Promise<void> | undefined;
	readonly end: (bytes?: Uint8Array) => void;
	/** Returns true if the gateway has closed the connection before the whole answer was written. */
	readonly wasCut: () => boolean;
	/** Closes the connection in such a way that the answer cannot appear complete. */
	readonly abort: () => void;
	/** Answers with a failure of the gateway itself. */
	readonly refuse: (failure: Failure) => void;
};

/** An admitted request. */
export type ForwardRequest = {
	readonly id: string | undefined;
	/** Digest of the content that identifies the request when the caller sends it again. */
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
	readonly generation: GenerationParameters | undefined;
	/** The parts of the prompt that other requests may contain too. */
	readonly parts: readonly PartKey[];
	readonly lastEventId: string | undefined;
	/** ID of the attempt that received the first event of the stream that the caller resumes. */
	readonly resumes: string | undefined;
	/** What began the stream that the caller resumes; undefined for a new request. */
	readonly origin: StreamOrigin | undefined;
	/** Start of the request, in milliseconds of the monotonic clock. */
	readonly startedAt: number;
	/** Time by which the final answer is due, in milliseconds of the monotonic clock. */
	readonly deadline: number;
	/** Aborted when the caller disconnects or the deadline passes. */
	readonly signal: AbortSignal;
	readonly answer: CallerAnswer;
};

/** How a request ended. */
export type ForwardResult = 'served' | 'passed-on' | 'refused' | 'failed' | 'cut';

/** Report on a request that has ended. */
export type ForwardReport = {
	readonly result: ForwardResult;
	/** The last upstream that was chosen for the request. */
	readonly upstream: string | undefined;
	/** Version of that upstream's software. */
	readonly softwareVersion: string | undefined;
	/** Number of upstreams to which the request was sent. */
	readonly sends: number;
	/** An upstream may have started to run the request. */
	readonly mayHaveRun: boolean;
	/** Number of stream events sent to the caller. */
	readonly events: number;
	/** Milliseconds until the first event or the whole answer. */
	readonly firstMs: number | undefined;
	/** Estimated prompt tokens queued at that upstream when it was chosen. */
	readonly waitingTokens: number | undefined;
	/** Estimated tokens of the prompt that the upstream had cached. */
	readonly cachedTokens: number | undefined;
	/** The upstream was no longer listed when it was chosen and accepted requests only during its grace period. */
	readonly isOnGrace: boolean | undefined;
	/** Age of the upstream directory's data when the upstream was chosen, in milliseconds. */
	readonly viewMs: number | undefined;
	readonly reason?: string;
};
