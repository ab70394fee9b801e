/**
 * Tells whether an upstream's process has ended under a request.
 *
 * A connection that breaks may have been reset alone, by something between the
 * two ends. A process that has ended also refuses new connections; the next
 * process at its address has another id.
 *
 * @module
 */
import type {UpstreamEntry} from '../protocol/mod.js';
import type {ProbeVerdict} from '../transport/mod.js';

/** Options of {@linkcode createCrashWatch}. */
export type CreateCrashWatchOptions = {
	/** True for an upstream that is listed and not leaving: the end of any other is no crash. */
	readonly isExpected: (upstream: string) => boolean;
	/** Asks whether a process listens at an address. */
	readonly probe: (address: string) => Promise<ProbeVerdict>;
};

/** Tells whether upstreams have crashed. */
export type CrashWatch = ReturnType<typeof createCrashWatch>;

/** Upstreams of which it is remembered that they have crashed. */
const crashedKept = 200;

/**
 * Creates the watch.
 *
 * @example
 * ```ts
 * await watch.hasCrashed(upstream); // asked when a sending to it was broken off
 * ```
 *
 * @param options Upstreams and the way to them
 * @returns The watch
 */
export function createCrashWatch(options: CreateCrashWatchOptions) {
	const crashed = new Set<string>();
	const probing = new Map<string, Promise<ProbeVerdict>>();

	// All sendings that break at the same moment share a probe.
	async function probeShared({id, address}: UpstreamEntry): Promise<ProbeVerdict> {
		const pending = probing.get(id) ?? options.probe(address);
		probing.set(id, pending);
		try {
			return await pending;
		} finally {
			probing.delete(id);
		}
	}

	function keep(id: string): void {
		crashed.add(id);
		if (crashed.size > crashedKept) {
			crashed.delete(crashed.values().next().value!);
		}
	}

	return {
		/** True if the process of an upstream to which a sending broke off has ended by itself. */
		async hasCrashed(upstream: UpstreamEntry): Promise<boolean> {
			if (crashed.has(upstream.id)) {
				return true;
			}

			// Before the probe: what has crashed may be dropped from the list while it is waited for.
			if (!options.isExpected(upstream.id) || await probeShared(upstream) !== 'refused') {
				return false;
			}

			keep(upstream.id);
			return true;
		},
	};
}
