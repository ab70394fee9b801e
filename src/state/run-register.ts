/**
 * Who may run a non-idempotent request: the executor named by its first run
 * record on the log, in that incarnation, and nobody else ever.
 *
 * @module
 */
import type {RecordOf} from '../protocol/mod.js';

/** The executor that the log gave a request to. */
export type RegisteredRun = {daemon: string; incarnation: string; at: number};

/** Serialisable form of the register. */
export type RunRegisterSnapshot = {runs: Array<[string, RegisteredRun]>};

/** Options of {@linkcode createRunRegister}. */
export type CreateRunRegisterOptions = {
	/** How long runs stay known, in milliseconds of the log's clock. */
	readonly window: number;
	/** Snapshot to start from; default empty. */
	readonly snapshot?: RunRegisterSnapshot;
};

/** The register; `fold` takes one record. */
export type RunRegister = ReturnType<typeof createRunRegister>;

/**
 * Creates a run register.
 *
 * @example
 * ```ts
 * const runs = createRunRegister({window: 3_600_000});
 * runs.fold({kind: 'run', request: 'r1', daemon: 'up-1', incarnation: 'i-1'}, 0);
 * runs.get('r1')?.daemon; // 'up-1'
 * ```
 *
 * @param options The window and a snapshot to start from
 * @returns The register
 */
export function createRunRegister(options: CreateRunRegisterOptions) {
	const runs = new Map(options.snapshot?.runs);

	function dropOlder(at: number): void {
		for (const [request, run] of runs) {
			if (run.at >= at - options.window) {
				return;
			}

			runs.delete(request);
		}
	}

	return {
		fold(record: RecordOf<'run'>, at: number): void {
			dropOlder(at);
			// Two executors that both believe the request is theirs both append; the first record decides.
			if (!runs.has(record.request)) {
				runs.set(record.request, {daemon: record.daemon, incarnation: record.incarnation, at});
			}
		},

		get: (request: string): Readonly<RegisteredRun> | undefined => runs.get(request),
		has: (request: string): boolean => runs.has(request),
		size: () => runs.size,
		buildSnapshot: (): RunRegisterSnapshot => ({runs: [...runs]}),
	};
}
