/**
 * Running and recent requests of one upstream daemon, in bounded memory.
 *
 * A retry that a caller sends through any entry daemon finds its request here
 * and attaches to it: the caller receives the same frames from the first one
 * on, and the request does not run twice.
 *
 * @module
 */
import {createHash} from 'node:crypto';
import Emittery from 'emittery';
import type {Failure, GrantShare} from '../protocol/mod.js';

/** Summary of a complete answer. */
export type AnswerEnd = {
	readonly chunks: number;
	readonly length: number;
	/** Hex SHA-256 over all chunks. */
	readonly digest: string;
	readonly promptTokens: number;
	readonly completionTokens: number;
	readonly billed: readonly GrantShare[];
	readonly finishReason: string;
	/** HTTP status of the answer of a plain service; 200 for models. */
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

/** A request in the table. */
export type TrackedRequest = {
	readonly id: string;
	/** The attempt that started the request and whose reservation is billed. */
	readonly attempt: number;
	/** The incarnation of this daemon that started the request. */
	readonly incarnation: string;
	readonly payloadDigest: string;
	readonly shares: readonly GrantShare[];
	readonly chunks: Uint8Array[];
	readonly events: Emittery<{changed: undefined}>;
	/** Aborted when the caller has disconnected or the daemon must stop. */
	readonly abortController: AbortController;
	/** Set when the answer is complete. */
	end?: AnswerEnd;
	/** Set when the request failed. */
	failure?: Failure;
	/** Tokens billed, also for a failed request such as a cancelled stream. */
	billed: readonly GrantShare[];
	isEnded: () => boolean;
	push: (chunk: Uint8Array) => void;
	finish: (options: FinishOptions) => void;
	fail: (failure: Failure, billed?: readonly GrantShare[]) => void;
};

/** Result of a look-up; `gone` means that the request has ended and its answer was evicted. */
export type RequestLookup =
	| {readonly kind: 'unknown'}
	| {readonly kind: 'tracked'; readonly request: TrackedRequest}
	| {readonly kind: 'gone'; readonly attempt: number; readonly billed: readonly GrantShare[]};

/** Options of {@linkcode createRequestTable}. */
export type CreateRequestTableOptions = {
	/** Maximum total size of the answers of finished requests, in bytes. */
	readonly maxAnswerBytes: number;
	/** Maximum number of requests remembered after their answers were evicted, and of fenced attempts; default 100000. */
	readonly maxTombstones?: number;
};

/** Options of {@linkcode RequestTable.open}. */
export type OpenRequestOptions = {
	readonly attempt: number;
	readonly incarnation: string;
	readonly payloadDigest: string;
	readonly shares: readonly GrantShare[];
};

const defaultMaxTombstones = 100_000;

/** Request table of one upstream daemon. */
export type RequestTable = ReturnType<typeof createRequestTable>;

/** @internal */
function createTrackedRequest(id: string, options: OpenRequestOptions): TrackedRequest {
	const hash = createHash('sha256');
	let byteLength = 0;
	const request: TrackedRequest = {
		id,
		attempt: options.attempt,
		incarnation: options.incarnation,
		payloadDigest: options.payloadDigest,
		shares: options.shares,
		chunks: [],
		events: new Emittery(),
		abortController: new AbortController(),
		billed: [],
		isEnded: () => Boolean(request.end ?? request.failure),
		push(chunk) {
			hash.update(chunk);
			byteLength += chunk.length;
			request.chunks.push(chunk);
			void request.events.emit('changed');
		},
		finish(finishOptions) {
			request.billed = finishOptions.billed;
			request.end = {
				chunks: request.chunks.length,
				length: byteLength,
				digest: hash.digest('hex'),
				promptTokens: finishOptions.promptTokens ?? 0,
				completionTokens: finishOptions.completionTokens ?? 0,
				billed: finishOptions.billed,
				finishReason: finishOptions.finishReason ?? 'stop',
				status: finishOptions.status ?? 200,
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
 * const table = createRequestTable({maxAnswerBytes: 1_048_576});
 * const request = table.open('r-1', {attempt: 1, incarnation: 'i-1', payloadDigest: 'd', shares: []});
 * table.get('r-1').kind; // 'tracked'
 * ```
 *
 * @param options Limits on memory
 * @returns The table
 */
export function createRequestTable(options: CreateRequestTableOptions) {
	const maxTombstones = options.maxTombstones ?? defaultMaxTombstones;
	const running = new Map<string, TrackedRequest>();
	const finished = new Map<string, TrackedRequest>();
	const tombstones = new Map<string, {attempt: number; billed: readonly GrantShare[]}>();
	const fencedAttempts = new Set<string>();
	let finishedBytes = 0;

	function evictFinished(): void {
		for (const [id, request] of finished) {
			if (finishedBytes <= options.maxAnswerBytes) {
				return;
			}

			finished.delete(id);
			finishedBytes -= countBytes(request);
			tombstones.set(id, {attempt: request.attempt, billed: request.billed});
		}
	}

	function evictOldest(entries: Map<string, unknown> | Set<string>): void {
		for (const id of entries.keys()) {
			if (entries.size <= maxTombstones) {
				return;
			}

			entries.delete(id);
		}
	}

	return {
		open(id: string, requestOptions: OpenRequestOptions): TrackedRequest {
			const request = createTrackedRequest(id, requestOptions);
			running.set(id, request);
			return request;
		},

		/** Moves an ended request to the finished ones, and evicts the oldest answers over the limit. */
		close(request: TrackedRequest): void {
			running.delete(request.id);
			finished.set(request.id, request);
			finishedBytes += countBytes(request);
			evictFinished();
			evictOldest(tombstones);
		},

		/** Removes a request that did not run, so that it can be sent again. */
		remove(request: TrackedRequest): void {
			running.delete(request.id);
		},

		/**
		 * Fences an attempt: it is refused if it arrives later.
		 *
		 * An entry daemon whose connection failed cannot know whether its request
		 * is still in transit. Without the fence, the request could run after
		 * the caller had received the answer "not run".
		 */
		fence(id: string, attempt: number): void {
			fencedAttempts.add(`${id}/${attempt}`);
			evictOldest(fencedAttempts);
		},

		isFenced: (id: string, attempt: number): boolean => fencedAttempts.has(`${id}/${attempt}`),

		get(id: string): RequestLookup {
			const request = running.get(id) ?? finished.get(id);
			if (request) {
				return {kind: 'tracked', request};
			}

			const tombstone = tombstones.get(id);
			return tombstone ? {kind: 'gone', ...tombstone} : {kind: 'unknown'};
		},

		listRunning: (): TrackedRequest[] => [...running.values()],
		countRunning: () => running.size,
		countFinishedBytes: () => finishedBytes,
	};
}
