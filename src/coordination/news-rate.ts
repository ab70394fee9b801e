/**
 * How often gateways tell news, by their number.
 *
 * Every gateway hears all others, so the entries that reach one in a second
 * are the gateways times their rate. The rate falls as the fleet grows, and
 * what a gateway sends and reads stays the same.
 *
 * @module
 */

/** How often news is told; spans in milliseconds. */
export type NewsRate = {
	/** Pause between two own entries while something changes. */
	readonly entryPause: number;
	/** Longest time between two own entries. */
	readonly quietPause: number;
	/** Pause between datagrams. */
	readonly tick: number;
	/** Pause while entries wait that had no room. */
	readonly busyTick: number;
	/** A gateway whose last entry is older than this has fallen silent. */
	readonly viewLife: number;
	/** True if news reach some gateways only through others. */
	readonly passesOn: boolean;
};

/** Gateways that one datagram goes to. */
export const fanOut = 3;
/** Entry pause for each gateway where news is passed on, in milliseconds: together they write 50 entries a second. */
const pausePerGateway = 20;
/** Bounds on the pause between datagrams, in milliseconds; the longer one is a third of the shortest objective of streams. */
const tickRange = {least: 50, most: 150} as const;
/** A gateway that has nothing new says so after this long, in milliseconds. */
const quietSpan = 500;
/** Life of a view where every gateway hears every other itself, in milliseconds: three quiet spans. */
const leastViewLife = 1500;
/** Entries of a gateway that others may miss where news is passed on: about one in ten does not reach a given gateway. */
const missedEntries = 6;

/**
 * Computes how often news is told.
 *
 * @example
 * ```ts
 * computeNewsRate(4).entryPause; // 50
 * computeNewsRate(68).entryPause; // 1360
 * ```
 *
 * @param gateways Gateways of the fleet, this one among them
 * @returns The rate
 */
export function computeNewsRate(gateways: number): NewsRate {
	const passesOn = gateways - 1 > fanOut;
	const entryPause = passesOn ? gateways * pausePerGateway : tickRange.least;
	const quietPause = Math.max(quietSpan, entryPause);
	return {
		entryPause,
		quietPause,
		tick: Math.min(tickRange.most, entryPause),
		busyTick: Math.min(tickRange.most, entryPause) / 2,
		viewLife: passesOn ? missedEntries * quietPause : leastViewLife,
		passesOn,
	};
}
