/**
 * Running and recent requests of one upstream daemon, in bounded memory.
 *
 * A caller's retry through any entry finds its request here and attaches to
 * it: it gets the same frames from the first one on, without a second run.
 *
 * @module
 */
import {createHash} from 'node:crypto';
import Emittery from 'emittery';
import type {Failure, GrantShare} from '../protocol/mod.js';

/** How a whole answer ended. */
export type AnswerEnd = {
	readonly chunks: number;
	readonly length: number;
	/** Hex SHA-256 over all chunks. */
	readonly digest: string;
	readonly promptTokens: number;
	readonly completionTokens: number;
	readonly billed: readonly GrantShare[];
	readonly finishReason: string;
	/** HTTP status of a plain service's answer; 200 for models. */
	readonly status: number;
};

/** Options of {@linkcode TrackedRequest.finish}. */
export type FinishOptions = {
	readonly promptTokens?: number;
	readonly completionTokens?: number;
	readonly billed: readonly GrantShare[];
	readonly finishReason?: string;
	readonly status?: number;
};

/** One request in the table. */
export type TrackedRequest = {
	readonly id: string;
	/** The attempt that started it and whose reservation it is billed to. */
	readonly attempt: number;
	/** The incarnation of this daemon that started it. */
	readonly incarnation: string;
	readonly payloadDigest: string;
	readonly shares: readonly GrantShare[];
	readonly chunks: Uint8Array[];
	readonly events: Emittery<{changed: undefined}>;
	/** Aborted when the caller has left or the daemon must stop. */
	readonly stopper: AbortController;
	/** Set by the end of a whole answer. */
	end?: AnswerEnd;
	/** Set when the request failed. */
	failure?: Failure;
	/** Tokens billed though the request failed, such as those of a cancelled stream. */
	billed: readonly GrantShare[];
	isEnded: () => boolean;
	push: (chunk: Uint8Array) => void;
	finish: (options: FinishOptions) => void;
	fail: (failure: Failure, billed?: readonly GrantShare[]) => void;
};

/** What the table knows of a request. */
export type Lookup =
	| {readonly kind: 'unknown'}
	| {readonly kind: 'tracked'; readonly request: TrackedRequest}
	| {readonly kind: 'gone'; readonly attempt: number; readonly billed: readonly GrantShare[]};

/** Options of {@linkcode createRequestTable}. */
export type CreateRequestTableOptions = {
	/** Bytes that finished answers may take. */
	readonly bytes: number;
	/** Identities of requests kept after their answers were dropped; default 100000. */
	readonly tombstones?: number;
};

/** Options of {@linkcode RequestTable.open}. */
export type OpenRequestOptions = {
	readonly attempt: number;
	readonly incarnation: string;
	readonly payloadDigest: string;
	readonly shares: readonly GrantShare[];
};

const defaultTombstones = 100_000;

/** The table of one upstream daemon. */
export type RequestTable = ReturnType<typeof createRequestTable>;

/** @internal */
function createTrackedRequest(id: string, options: OpenRequestOptions): TrackedRequest {
	const hash = createHash('sha256');
	let length = 0;
	const request: TrackedRequest = {
		id,
		attempt: options.attempt,
		incarnation: options.incarnation,
		payloadDigest: options.payloadDigest,
		shares: options.shares,
		chunks: [],
		events: new Emittery(),
		stopper: new AbortController(),
		billed: [],
		isEnded: () => Boolean(request.end ?? request.failure),
		push(chunk) {
			hash.update(chunk);
			length += chunk.length;
			request.chunks.push(chunk);
			void request.events.emit('changed');
		},
		finish(finish) {
			request.billed = finish.billed;
			request.end = {
				chunks: request.chunks.length,
				length,
				digest: hash.digest('hex'),
				promptTokens: finish.promptTokens ?? 0,
				completionTokens: finish.completionTokens ?? 0,
				billed: finish.billed,
				finishReason: finish.finishReason ?? 'stop',
				status: finish.status ?? 200,
			};
			void request.events.emit('changed');
		},
		fail(failure, billed = []) {
			request.billed = billed;
			request.failure = failure;
			void request.events.emit('changed');
		},
	};
	return request;
}

/** @internal */
function countBytes(request: TrackedRequest): number {
	return request.chunks.reduce((total, chunk) => total + chunk.length, 0);
}

/**
 * Creates an empty table.
 *
 * @example
 * ```ts
 * const table = createRequestTable({bytes: 1_048_576});
 * const request = table.open('r-1', {attempt: 1, incarnation: 'i-1', payloadDigest: 'd', shares: []});
 * table.get('r-1').kind; // 'tracked'
 * ```
 *
 * @param options Bounds on memory
 * @returns The table
 */
export function createRequestTable(options: CreateRequestTableOptions) {
	const tombstoneLimit = options.tombstones ?? defaultTombstones;
	const running = new Map<string, TrackedRequest>();
	const finished = new Map<string, TrackedRequest>();
	const gone = new Map<string, {attempt: number; billed: readonly GrantShare[]}>();
	const fenced = new Set<string>();
	let finishedBytes = 0;

	function dropAnswers(): void {
		for (const [id, request] of finished) {
			if (finishedBytes <= options.bytes) {
				return;
			}

			finished.delete(id);
			finishedBytes -= countBytes(request);
			gone.set(id, {attempt: request.attempt, billed: request.billed});
		}
	}

	function dropOldest(entries: Map<string, unknown> | Set<string>): void {
		for (const id of entries.keys()) {
			if (entries.size <= tombstoneLimit) {
				return;
			}

			entries.delete(id);
		}
	}

	return {
		open(id: string, open: OpenRequestOptions): TrackedRequest {
			const request = createTrackedRequest(id, open);
			running.set(id, request);
			return request;
		},

		/** Moves an ended request to the finished ones; drops the oldest answers over the bound. */
		close(request: TrackedRequest): void {
			running.delete(request.id);
			finished.set(request.id, request);
			finishedBytes += countBytes(request);
			dropAnswers();
			dropOldest(gone);
		},

		/** Forgets a request that did not run, so that it may be sent again. */
		forget(request: TrackedRequest): void {
			running.delete(request.id);
		},

		/**
		 * Promises that an attempt will not start here.
		 *
		 * An entry that lost its connection cannot know whether its request
		 * is still on the way; a late copy would run after the caller was
		 * told "not run". The fence refuses that copy.
		 */
		fence(id: string, attempt: number): void {
			fenced.add(`${id}/${attempt}`);
			dropOldest(fenced);
		},

		isFenced: (id: string, attempt: number): boolean => fenced.has(`${id}/${attempt}`),

		get(id: string): Lookup {
			const request = running.get(id) ?? finished.get(id);
			if (request) {
				return {kind: 'tracked', request};
			}

			const ended = gone.get(id);
			return ended ? {kind: 'gone', ...ended} : {kind: 'unknown'};
		},

		listRunning: (): TrackedRequest[] => [...running.values()],
		countRunning: () => running.size,
		countFinishedBytes: () => finishedBytes,
	};
}
