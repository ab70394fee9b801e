/**
 * Detects whether an upstream's process ended while it ran a request.
 *
 * A lost connection alone does not show this: a network device may have reset
 * it. A process that has ended also refuses new connections, until the next one
 * listens at its address. That one may have the same ID; the time of its start
 * tells the two apart. Of an upstream that names no start no crash is
 * remembered, and each lost connection is probed.
 *
 * @module
 */
import type {UpstreamRegistration} from '../../protocol/mod.js';
import type {ProbeResult} from '../../transport/mod.js';
import {computeStartKey} from './part-keys.js';

/** Options of {@linkcode createCrashDetector}. */
export type CreateCrashDetectorOptions = {
	/** Returns true if an upstream is listed and not leaving. The end of any other upstream is not a crash. */
	readonly isExpectedUp: (upstream: string) => boolean;
	/** Probes whether a process listens at an address. */
	readonly probe: (address: string) => Promise<ProbeResult>;
};

/** Detects crashes of upstreams. */
export type CrashDetector = ReturnType<typeof createCrashDetector>;

/** Number of starts of upstreams whose crashes are remembered. */
const maxCrashedStarts = 200;

/**
 * Creates a crash detector.
 *
 * @example
 * ```ts
 * await detector.hasCrashed(upstream); // called when the connection to it was lost during a request
 * ```
 *
 * @param options Whether upstreams are expected to run, and how to probe them
 * @returns The crash detector
 */
export function createCrashDetector(options: CreateCrashDetectorOptions) {
	const crashedStarts = new Set<number>();
	const pendingProbes = new Map<number, Promise<ProbeResult>>();

	// Requests that lose their connections at the same time share one probe.
	async function probeShared(start: number, address: string): Promise<ProbeResult> {
		const pending = pendingProbes.get(start) ?? options.probe(address);
		pendingProbes.set(start, pending);
		try {
			return await pending;
		} finally {
			pendingProbes.delete(start);
		}
	}

	function rememberCrash(start: number): void {
		crashedStarts.add(start);
		if (crashedStarts.size > maxCrashedStarts) {
			crashedStarts.delete(crashedStarts.values().next().value!);
		}
	}

	return {
		/** Returns true if the process of an upstream has crashed, after the connection to it was lost. */
		async hasCrashed(upstream: UpstreamRegistration): Promise<boolean> {
			const start = computeStartKey(upstream);
			if (crashedStarts.has(start)) {
				return true;
			}

			// Checked before the probe, because a crashed upstream may be removed from the list while the probe is pending.
			if (!options.isExpectedUp(upstream.id) || await probeShared(start, upstream.address) !== 'refused') {
				return false;
			}

			// Without the time of its start, the next process under this ID cannot be told apart.
			if (upstream.startedAt !== undefined) {
				rememberCrash(start);
			}

			return true;
		},
	};
}
