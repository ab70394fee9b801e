/**
 * Limits on the bytes that a process holds for its callers and upstreams: an
 * account of the held bytes, and a count of what was cut by a limit. Requests
 * and responses have an account each, so that one does not displace the other.
 *
 * @module
 */
import type {EventLog, EventName} from '../protocol/mod.js';

/** Which limit a response or connection exceeded. */
export type ByteLimit = 'event' | 'response' | 'unusable' | 'held';

/**
 * Where bytes are held. Of responses: received from an upstream and not yet relayed, being assembled, or written and not
 * yet sent to the caller. Of requests: a body, what a connection has sent ahead of the answers, or the calls of another daemon.
 */
export type HeldPart = 'received' | 'assembled' | 'unsent' | 'body' | 'ahead' | 'call';

/** One holder of bytes. */
export type ByteHolder = {
	/** Sets how many bytes the holder holds; has no effect once it is closed or cut. */
	readonly set: (bytes: number) => void;
	/**
	 * Protects the holder from being cut. Returns false, and changes nothing, if the protected holders would have too much:
	 * a large holder leaves half of the limit to small ones, but may always be the only one.
	 */
	readonly tryProtect: () => boolean;
	/** Ends the holding. */
	readonly close: () => void;
};

/** Limits on held bytes, one object for each process. */
export type ByteLimits = ReturnType<typeof createByteLimits>;

/** Options of {@linkcode createByteLimits}. */
export type CreateByteLimitsOptions = {
	/** Maximum number of bytes that the process holds for callers, unfinished events and buffered responses. */
	readonly maxHeldBytes?: number | undefined;
	readonly events?: Pick<EventLog, 'write'>;
};

const bytesPerMegabyte = 1_048_576;
/** The smallest gateways have 178 MB, of which an idle one uses 80 MB. */
const defaultMaxHeldBytes = 32 * bytesPerMegabyte;
/** Share of a host's memory: the smallest gateways use half of it at rest, and bursts of requests need some of the rest. */
const heldMemoryShare = 1 / 8;
/** A stream event contains one or a few tokens; a larger one must be held until it is complete. */
export const maxEventBytes = bytesPerMegabyte;
/** Longer responses are forwarded as they arrive, so they can't be replaced by another upstream's. */
export const maxBufferedResponseBytes = bytesPerMegabyte;
/** A response without a length has no end that could be checked in advance. */
export const maxResponseBytes = 64 * bytesPerMegabyte;
/** Header lines and the framing of a response take at most 16 KB for its headers and a few bytes for each chunk. */
export const maxUnusableBytes = 262_144;

const cutEvents = {
	event: 'eventTooLong', response: 'responseTooLong', unusable: 'unusableBytes', held: 'heldBytesExceeded',
} as const satisfies Record<ByteLimit, EventName>;

/** Part of the limit from which a holder is large. */
const largeShare = 1 / 128;
/** Part of the limit that is protected at most once a large holder is protected. */
const maxLargeShare = 1 / 2;

type HolderState = {bytes: number; readonly part: HeldPart; readonly cut: (detail: string) => void; isOpen: boolean; isProtected: boolean};

/**
 * Computes the limit on held bytes of a host.
 *
 * @example
 * ```ts
 * computeMaxHeldBytes(178_000_000); // 22_250_000
 * ```
 *
 * @param memoryBytes Memory of the host; undefined if the settings do not name it
 * @returns The limit, or undefined for the default
 */
export function computeMaxHeldBytes(memoryBytes: number | undefined): number | undefined {
	return memoryBytes === undefined ? undefined : Math.floor(memoryBytes * heldMemoryShare);
}

/**
 * Creates the limits of a process.
 *
 * @example
 * ```ts
 * const limits = createByteLimits({events, maxHeldBytes: 32_000_000});
 * const holder = limits.openHolder('assembled', detail => answer.abandon());
 * holder.set(4096);
 * holder.close();
 * ```
 *
 * @param options The limit of the process and the event log
 * @returns The limits
 */
export function createByteLimits({maxHeldBytes = defaultMaxHeldBytes, events}: CreateByteLimitsOptions = {}) {
	const holders = new Set<HolderState>();
	const cuts = new Map<ByteLimit, number>(Object.keys(cutEvents).map(limit => [limit as ByteLimit, 0]));
	let heldBytes = 0;
	let protectedBytes = 0;
	let maxSeenBytes = 0;

	function recordCut(limit: ByteLimit, fields: Readonly<Record<string, string | number | undefined>>): void {
		cuts.set(limit, cuts.get(limit)! + 1);
		events?.write(cutEvents[limit], fields);
	}

	function closeHolder(state: HolderState): void {
		if (state.isOpen) {
			state.isOpen = false;
			heldBytes -= state.bytes;
			protectedBytes -= state.isProtected ? state.bytes : 0;
			holders.delete(state);
		}
	}

	function findLargest(): HolderState | undefined {
		let largest: HolderState | undefined;
		for (const state of holders) {
			if (!state.isProtected && state.bytes > (largest?.bytes ?? 0)) {
				largest = state;
			}
		}

		return largest;
	}

	function canProtect(bytes: number): boolean {
		const isLarge = bytes > maxHeldBytes * largeShare;
		return bytes === 0 || protectedBytes === 0 || protectedBytes + bytes <= maxHeldBytes * (isLarge ? maxLargeShare : 1);
	}

	// A holder leaves the account before it is cut, because cutting it may close or change other holders.
	function cutLargest(): void {
		for (let largest = findLargest(); largest && heldBytes > maxHeldBytes; largest = findLargest()) {
			const {part, bytes} = largest;
			const totalBytes = heldBytes;
			closeHolder(largest);
			recordCut('held', {
				part, bytes, totalBytes, maxBytes: maxHeldBytes,
			});
			largest.cut(`The process held ${totalBytes} bytes, and this holder the most of them`);
		}
	}

	return {
		/** Opens a holder. `cut` is called if the process holds too much and this holder holds the most; it must discard what is held. */
		openHolder(part: HeldPart, cut: (detail: string) => void): ByteHolder {
			const state: HolderState = {
				bytes: 0, part, cut, isOpen: true, isProtected: false,
			};
			holders.add(state);
			return {
				set(bytes) {
					if (!state.isOpen) {
						return;
					}

					heldBytes += bytes - state.bytes;
					protectedBytes += state.isProtected ? bytes - state.bytes : 0;
					state.bytes = bytes;
					if (heldBytes > maxHeldBytes) {
						cutLargest();
					}

					maxSeenBytes = Math.max(maxSeenBytes, heldBytes);
				},
				tryProtect() {
					if (!state.isOpen || !canProtect(state.bytes)) {
						return false;
					}

					state.isProtected = true;
					protectedBytes += state.bytes;
					return true;
				},
				close() {
					closeHolder(state);
				},
			};
		},

		/** Returns whether bytes fit, or a larger holder would be cut for them. */
		canHold(bytes: number): boolean {
			return heldBytes + bytes <= maxHeldBytes || bytes < (findLargest()?.bytes ?? 0);
		},

		/** Counts and logs what was cut by a limit. */
		recordCut,

		/** Logs that a response is no longer buffered. */
		recordForwarded(fields: Readonly<Record<string, string | number | undefined>>): void {
			events?.write('responseForwarded', fields);
		},

		/** Returns the number of bytes held now. */
		countHeld: () => heldBytes,

		/** Returns the largest number of bytes that were held at any time, after cuts. */
		countMaxHeld: () => maxSeenBytes,

		/** Returns how often a limit cut a holder. */
		countCut: (limit: ByteLimit): number => cuts.get(limit)!,

		/** Lists how often each limit cut a response or closed a connection. */
		listCuts: (): ReadonlyArray<readonly [ByteLimit, number]> => [...cuts],
	};
}
