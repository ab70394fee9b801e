/**
 * Directory of registered upstreams, folded from their registrations.
 *
 * @module
 */
import type {UpstreamRegistration} from '../protocol/mod.js';

type Registration = {
	upstream: UpstreamRegistration;
	graceEndsAt?: number;
	warmAt: number;
	/** True if another upstream has answered at its address since. */
	isAddressReused: boolean;
};

/** An upstream that accepts requests. */
export type LiveUpstream = {
	readonly upstream: UpstreamRegistration;
	/** End of the upstream's warm-up. */
	readonly warmAt: number;
	/** True if its registration was removed and it accepts requests only until the grace period ends. */
	readonly isOnGrace: boolean;
};

/** What remains of a registration that was removed. */
type RemovedRegistration = Pick<UpstreamRegistration, 'sequence' | 'startedAt'>;

/** Maximum number of removed upstreams that are remembered; the oldest one is evicted first. */
const maxRemoved = 1000;

/** @internal Positive if the left start is later than the right one, 0 if they are the same or cannot be told apart. */
function compareStarts(left: Pick<UpstreamRegistration, 'startedAt'>, right: Pick<UpstreamRegistration, 'startedAt'>): number {
	return left.startedAt === undefined || right.startedAt === undefined ? 0 : left.startedAt - right.startedAt;
}

/** Options of {@linkcode createUpstreamDirectory}. */
export type CreateUpstreamDirectoryOptions = {
	/** Returns true if the deployment names a service; by default it names all. */
	readonly isServiceNamed?: (service: string) => boolean;
};

/** Directory of registered upstreams. */
export type UpstreamDirectory = ReturnType<typeof createUpstreamDirectory>;

/**
 * Creates an empty directory.
 *
 * @example
 * ```ts
 * const directory = createUpstreamDirectory();
 * directory.put(upstream, 0);
 * directory.listLive('beds', 10);
 * ```
 *
 * @param options The services that the deployment names
 * @returns The directory
 */
export function createUpstreamDirectory({isServiceNamed = () => true}: CreateUpstreamDirectoryOptions = {}) {
	const registrations = new Map<string, Registration>();
	/** The last registrations of upstreams that were removed, the oldest first. */
	const removed = new Map<string, RemovedRegistration>();
	/** IDs of the upstreams that are registered at each address, the last one to register last. */
	const idsByAddress = new Map<string, Set<string>>();

	function isAvailable({upstream, isAddressReused, graceEndsAt}: Registration, now: number): boolean {
		return !upstream.isDraining && !isAddressReused && (graceEndsAt === undefined || now < graceEndsAt);
	}

	// Only one process listens at an address, so an earlier registration is of a process that has ended. A registration for
	// a service that the deployment does not name may come from any writer: it must not put an upstream out of service.
	// Nor must one that gets no requests itself: its entry may be wrong, and the upstream that it names may be there.
	function isAddressTaken({upstream: {id, address}}: Registration, now: number): boolean {
		const ids = idsByAddress.get(address);
		if (ids === undefined || ids.size <= 1) {
			return false;
		}

		const list = [...ids];
		return list.slice(list.indexOf(id) + 1).some(other => {
			const registration = registrations.get(other)!;
			return isAvailable(registration, now) && isServiceNamed(registration.upstream.service);
		});
	}

	function isLive(registration: Registration, now: number): boolean {
		return isAvailable(registration, now) && !isAddressTaken(registration, now);
	}

	function buildLiveUpstream({upstream, warmAt, graceEndsAt}: Registration): LiveUpstream {
		return {upstream, warmAt, isOnGrace: graceEndsAt !== undefined};
	}

	function removeAddress(id: string): void {
		const address = registrations.get(id)?.upstream.address;
		const ids = address === undefined ? undefined : idsByAddress.get(address);
		if (address === undefined || ids === undefined) {
			return;
		}

		ids.delete(id);
		if (ids.size === 0) {
			idsByAddress.delete(address);
		}
	}

	function putAddress({id, address}: UpstreamRegistration): void {
		removeAddress(id);
		const ids = idsByAddress.get(address) ?? new Set();
		ids.add(id);
		idsByAddress.set(address, ids);
	}

	function remove(id: string): void {
		const registration = registrations.get(id);
		if (registration) {
			removeAddress(id);
			registrations.delete(id);
			const {sequence, startedAt} = registration.upstream;
			removed.delete(id);
			removed.set(id, {sequence, startedAt});
		}

		const [oldest] = removed.keys();
		if (oldest !== undefined && removed.size > maxRemoved) {
			removed.delete(oldest);
		}
	}

	return {
		/**
		 * Stores a registration. Registrations must be put in the order in which they
		 * were written: the last one counts, whatever the times of the starts are, as
		 * the clock of an upstream's host may go back across a restart.
		 */
		put(upstream: UpstreamRegistration, now: number): void {
			const previous = registrations.get(upstream.id);
			const isSameStart = previous !== undefined && compareStarts(upstream, previous.upstream) === 0;
			putAddress(upstream);
			// Draining is final for one start: an older registration of it that is read late must not make the upstream live again.
			const isDraining = upstream.isDraining || (isSameStart && previous.upstream.isDraining);
			registrations.set(upstream.id, {upstream: {...upstream, isDraining}, warmAt: now + upstream.warmUp, isAddressReused: false});
		},

		/**
		 * Returns true if a registration from a backup of the log may be older than
		 * what is known of its upstream, which may have left since.
		 */
		mayBeOutdated(upstream: Pick<UpstreamRegistration, 'id' | 'sequence' | 'isDraining' | 'startedAt'>): boolean {
			const known = registrations.get(upstream.id)?.upstream ?? removed.get(upstream.id);
			if (!known) {
				return false;
			}

			// The sequence counts anew from each start. Draining is final for its own start only.
			const order = compareStarts(upstream, known);
			return order < 0 || (order === 0 && !upstream.isDraining && (upstream.sequence === undefined || known.sequence === undefined || upstream.sequence <= known.sequence));
		},

		/**
		 * Removes a registration, at once or at `graceEndsAt`. The grace period is
		 * for a registration that may have expired while its upstream was alive.
		 */
		drop(id: string, graceEndsAt?: number): void {
			const registration = registrations.get(id);
			if (registration && graceEndsAt !== undefined) {
				registration.graceEndsAt ??= graceEndsAt;
			} else {
				remove(id);
			}
		},

		/**
		 * Records that another upstream answers at the address of this one. The
		 * upstream gets no requests until it registers again.
		 *
		 * After all engines of a service lose power, their old registrations remain
		 * for three heartbeats. Without this mark, rendezvous hashing would send
		 * every request with the same prompt to the same stale registration, where
		 * it is refused.
		 *
		 * An upstream whose address this one had taken may still be there.
		 */
		markAddressReused(id: string): void {
			const registration = registrations.get(id);
			if (registration) {
				registration.isAddressReused = true;
			}
		},

		get: (id: string): UpstreamRegistration | undefined => registrations.get(id)?.upstream,
		/** Returns true if an upstream may get requests. */
		isLive(id: string, now: number): boolean {
			const registration = registrations.get(id);
			return registration !== undefined && isLive(registration, now);
		},

		/** Returns an upstream if it may get requests. */
		findLive(id: string, now: number): LiveUpstream | undefined {
			const registration = registrations.get(id);
			return registration && isLive(registration, now) ? buildLiveUpstream(registration) : undefined;
		},

		/** Returns the upstreams of a service that may get requests. */
		listLive(service: string, now: number): LiveUpstream[] {
			return [...registrations.values()]
				.filter(registration => registration.upstream.service === service && isLive(registration, now))
				.map(registration => buildLiveUpstream(registration));
		},

		/** Returns the remaining grace period of an upstream in whole milliseconds; 0 outside a grace period. */
		computeRemainingGraceMs(id: string, now: number): number {
			const registration = registrations.get(id);
			return registration?.graceEndsAt !== undefined && isLive(registration, now) ? Math.round(registration.graceEndsAt - now) : 0;
		},

		listIds: (): string[] => [...registrations.keys()],
		/** Returns true if any upstream may get requests. */
		hasLive: (now: number): boolean => [...registrations.values()].some(registration => isLive(registration, now)),

		/** Deletes registrations whose grace period has ended: their upstreams have left or will register again. */
		prune(now: number): void {
			for (const [id, {graceEndsAt}] of registrations) {
				if (graceEndsAt !== undefined && now >= graceEndsAt) {
					remove(id);
				}
			}
		},
	};
}
