/**
 * Registry of the executors of non-idempotent requests. Only the executor
 * incarnation in the first run record of a request in the log may ever run it.
 *
 * @module
 */
import type {RecordOf} from '../protocol/mod.js';

/** The executor to which the log assigned a request. */
export type RegisteredRun = {daemon: string; incarnation: string; at: number};

/** Serialisable form of the registry. */
export type RunRegistrySnapshot = {runs: Array<[string, RegisteredRun]>};

/** Options of {@linkcode createRunRegistry}. */
export type CreateRunRegistryOptions = {
	/** How long runs are kept, by the log's clock. */
	readonly retentionMs: number;
	/** Snapshot to start from; default empty. */
	readonly snapshot?: RunRegistrySnapshot;
};

/** Registry of runs; `fold` applies one log record. */
export type RunRegistry = ReturnType<typeof createRunRegistry>;

/**
 * Creates a run registry.
 *
 * @example
 * ```ts
 * const runs = createRunRegistry({retentionMs: 3_600_000});
 * runs.fold({kind: 'run', request: 'r1', daemon: 'up-1', incarnation: 'i-1'}, 0);
 * runs.get('r1')?.daemon; // 'up-1'
 * ```
 *
 * @param options The retention period and a snapshot to start from
 * @returns The registry
 */
export function createRunRegistry(options: CreateRunRegistryOptions) {
	const runs = new Map(options.snapshot?.runs);

	function evictExpired(nowMs: number): void {
		for (const [request, run] of runs) {
			if (run.at >= nowMs - options.retentionMs) {
				return;
			}

			runs.delete(request);
		}
	}

	return {
		fold(record: RecordOf<'run'>, timestampMs: number): void {
			evictExpired(timestampMs);
			// Two executors may both append a run record for a request; only the first record counts.
			if (!runs.has(record.request)) {
				runs.set(record.request, {daemon: record.daemon, incarnation: record.incarnation, at: timestampMs});
			}
		},

		get: (request: string): Readonly<RegisteredRun> | undefined => runs.get(request),
		has: (request: string): boolean => runs.has(request),
		size: () => runs.size,
		buildSnapshot: (): RunRegistrySnapshot => ({runs: [...runs]}),
	};
}
