/**
 * Encoding of what gateways tell each other about load: their own, and that of
 * the upstreams that they use.
 *
 * @module
 */
import {isDaemonAddress, type PeerState} from '../../protocol/mod.js';
import type {GatewayLoad, UpstreamUse} from '../../state/mod.js';

type LoadMessage = NonNullable<PeerState['load']>;
type UseMessage = PeerState['uses'][number];

const percentPerShare = 100;

/** The largest number of the message's fields. A larger one would make the whole entry unsendable. */
const maxUint32 = 0xFF_FF_FF_FF;

/**
 * Converts a number to one that a field of a message can hold.
 *
 * @example
 * ```ts
 * toUint32(1e300); // 4_294_967_295
 * ```
 *
 * @param value Any number
 * @returns The nearest whole number from 0 to 4,294,967,295; 0 for NaN
 */
export function toUint32(value: number): number {
	return value > 0 ? Math.min(maxUint32, Math.round(value)) : 0;
}

/** @internal */
function toPercent(share: number): number {
	return toUint32(share * percentPerShare);
}

/**
 * Encodes the load of a gateway.
 *
 * @example
 * ```ts
 * encodeLoad({processorShare: 0.5, linkShare: 0.1, memoryShare: 0.3, takesConnections: true, failureDomain: 'a'}).processorPercent; // 50
 * ```
 *
 * @param load The load
 * @returns The fields of the message
 */
export function encodeLoad({processorShare, linkShare, memoryShare, takesConnections, failureDomain, handOver}: GatewayLoad) {
	return {
		processorPercent: toPercent(processorShare), linkPercent: toPercent(linkShare), memoryPercent: toPercent(memoryShare), takesConnections, failureDomain,
		...handOver && {handOverAddress: handOver.address, spareMillicores: toUint32(handOver.spareMillicores)},
	};
}

/**
 * Decodes the load of a gateway.
 *
 * @example
 * ```ts
 * decodeLoad(message).linkShare; // 0.1
 * ```
 *
 * @param message The message
 * @returns The load
 */
export function decodeLoad({processorPercent, linkPercent, memoryPercent, takesConnections, failureDomain, handOverAddress, spareMillicores}: Omit<LoadMessage, '$typeName' | '$unknown'>): GatewayLoad {
	return {
		processorShare: processorPercent / percentPerShare, linkShare: linkPercent / percentPerShare, memoryShare: memoryPercent / percentPerShare, takesConnections, failureDomain,
		...isDaemonAddress(handOverAddress) && {handOver: {address: handOverAddress, spareMillicores}},
	};
}

/**
 * Encodes a gateway's use of an upstream.
 *
 * @example
 * ```ts
 * encodeUse({upstream: 'i-7', inFlight: 1, waitingTokens: 0, slowness: 1.5}).slownessPercent; // 150
 * ```
 *
 * @param use The use
 * @returns The fields of the message
 */
export function encodeUse({upstream, inFlight, waitingTokens, heldTokens, slowness}: UpstreamUse) {
	return {
		upstream, inFlight: toUint32(inFlight), waitingTokens: toUint32(waitingTokens), heldTokens: toUint32(heldTokens ?? 0), slownessPercent: toPercent(slowness ?? 0),
	};
}

/**
 * Decodes a gateway's use of an upstream.
 *
 * @example
 * ```ts
 * decodeUse(message).heldTokens; // 17_000
 * ```
 *
 * @param message The message
 * @returns The use
 */
export function decodeUse({upstream, inFlight, waitingTokens, heldTokens, slownessPercent}: Pick<UseMessage, 'upstream' | 'inFlight' | 'waitingTokens' | 'heldTokens' | 'slownessPercent'>): UpstreamUse {
	return {
		upstream, inFlight, waitingTokens, ...heldTokens > 0 && {heldTokens}, ...slownessPercent > 0 && {slowness: slownessPercent / percentPerShare},
	};
}
