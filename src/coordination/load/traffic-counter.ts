/**
 * Counts the bytes that a gateway sends and receives, by kind and by whether
 * they cross failure domains.
 *
 * @module
 */

/** Kind of traffic: bodies of requests to upstreams and of their answers, gossip, and store records read through relays. */
export type TrafficKind = 'request' | 'answer' | 'gossip' | 'relay';

/** Bytes of one kind since the start. */
export type TrafficTotal = {
	readonly kind: TrafficKind;
	/** True if the bytes crossed from one failure domain to another. */
	readonly isCrossDomain: boolean;
	readonly bytes: number;
};

/** Options of {@linkcode TrafficCounter.record}. */
export type RecordTrafficOptions = {
	readonly bytes: number;
	/** Failure domain of the other side; an unknown one counts as another domain. */
	readonly failureDomain: string | undefined;
};

/** Counts bytes by kind. */
export type TrafficCounter = ReturnType<typeof createTrafficCounter>;

/**
 * Creates a counter of the traffic of a daemon.
 *
 * @example
 * ```ts
 * const traffic = createTrafficCounter('zone-a');
 * traffic.record('gossip', {bytes: 900, failureDomain: 'zone-b'});
 * traffic.list(); // [{kind: 'gossip', isCrossDomain: true, bytes: 900}]
 * ```
 *
 * @param ownDomain The failure domain of the daemon
 * @returns The counter
 */
export function createTrafficCounter(ownDomain: string) {
	const totals = new Map<string, {-readonly [Field in keyof TrafficTotal]: TrafficTotal[Field]}>();

	return {
		record(kind: TrafficKind, {bytes, failureDomain}: RecordTrafficOptions): void {
			const isCrossDomain = failureDomain !== ownDomain;
			const key = `${kind} ${isCrossDomain}`;
			const total = totals.get(key) ?? {kind, isCrossDomain, bytes: 0};
			total.bytes += bytes;
			totals.set(key, total);
		},
		list: (): TrafficTotal[] => [...totals.values()].map(total => ({...total})),
	};
}
