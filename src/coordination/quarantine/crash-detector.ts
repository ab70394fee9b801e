/**
 * Detects whether an upstream's process ended while it ran a request.
 *
 * A lost connection alone does not show this: a network device may have reset
 * it. A process that has ended also refuses new connections, and the next
 * process at its address has another id.
 *
 * @module
 */
import type {UpstreamRegistration} from '../../protocol/mod.js';
import type {ProbeResult} from '../../transport/mod.js';

/** Options of {@linkcode createCrashDetector}. */
export type CreateCrashDetectorOptions = {
	/** Returns true if an upstream is listed and not leaving. The end of any other upstream is not a crash. */
	readonly isExpectedUp: (upstream: string) => boolean;
	/** Probes whether a process listens at an address. */
	readonly probe: (address: string) => Promise<ProbeResult>;
};

/** Detects crashes of upstreams. */
export type CrashDetector = ReturnType<typeof createCrashDetector>;

/** Number of crashed upstreams whose ids are kept. */
const maxCrashedIds = 200;

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
	const crashedIds = new Set<string>();
	const pendingProbes = new Map<string, Promise<ProbeResult>>();

	// Requests that lose their connections at the same time share one probe.
	async function probeShared({id, address}: UpstreamRegistration): Promise<ProbeResult> {
		const pending = pendingProbes.get(id) ?? options.probe(address);
		pendingProbes.set(id, pending);
		try {
			return await pending;
		} finally {
			pendingProbes.delete(id);
		}
	}

	function rememberCrash(id: string): void {
		crashedIds.add(id);
		if (crashedIds.size > maxCrashedIds) {
			crashedIds.delete(crashedIds.values().next().value!);
		}
	}

	return {
		/** Returns true if the process of an upstream has crashed, after the connection to it was lost. */
		async hasCrashed(upstream: UpstreamRegistration): Promise<boolean> {
			if (crashedIds.has(upstream.id)) {
				return true;
			}

			// Checked before the probe, because a crashed upstream may be removed from the list while the probe is pending.
			if (!options.isExpectedUp(upstream.id) || await probeShared(upstream) !== 'refused') {
				return false;
			}

			rememberCrash(upstream.id);
			return true;
		},
	};
}
