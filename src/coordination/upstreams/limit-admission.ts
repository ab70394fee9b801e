/**
 * Limits the requests that a gateway sends to upstreams that named a limit.
 *
 * @module
 */
import type {UpstreamLimits} from '../../state/mod.js';
import {createSendWindow, type CreateSendWindowOptions} from './send-window.js';

/** Options of {@linkcode createLimitAdmission}. */
export type CreateLimitAdmissionOptions = Omit<CreateSendWindowOptions, 'windowMs'> & {
	readonly limits: Pick<UpstreamLimits, 'findInForce'>;
};

/** Limits the requests that a gateway sends to upstreams that named a limit. */
export type LimitAdmission = ReturnType<typeof createLimitAdmission>;

/** Long enough for a share of one request where an upstream takes only one per second. */
const windowSeconds = 4;
/** The window, and the time by which requests may arrive closer together than they were recorded. */
const windowMs = 4200;
/** Longest time after which a caller may retry, because other gateways may have a share left. */
const maxRetryAfterMs = 1000;

/** @internal An upstream that takes fewer than one request per window gets one, unless it takes none. */
function computeWindowLimit(requestsPerSecond: number): number {
	return requestsPerSecond === 0 ? 0 : Math.max(1, Math.floor(requestsPerSecond * windowSeconds));
}

/**
 * Creates the limits of one gateway.
 *
 * @example
 * ```ts
 * const admission = createLimitAdmission({clock, processStartedAt: 0, daemon: 'entry-1', policy: new SubstitutedShare(), listGateways, limits});
 * if (admission.computeWaitMs('engine-7') === 0) {
 * 	admission.recordSend('engine-7');
 * }
 * ```
 *
 * @param options The fleet and the known limits
 * @returns The limits
 */
export function createLimitAdmission({limits, ...fleet}: CreateLimitAdmissionOptions) {
	const sends = createSendWindow({...fleet, windowMs});

	function computeWaitMs(upstream: string): number {
		const known = limits.findInForce(upstream);
		return known
			? sends.computeWaitMs(upstream, {limit: computeWindowLimit(known.requestsPerSecond), unconfirmedMs: fleet.clock.now() - known.confirmedAt})
			: 0;
	}

	return {
		/** Returns the milliseconds until this gateway may send a request to an upstream; infinite if it is left to other gateways, 0 without a limit. */
		computeWaitMs,
		/** Returns the milliseconds after which some gateway may send to an upstream; 0 if this one may now. */
		computeRetryAfterMs: (upstream: string): number => Math.min(maxRetryAfterMs, computeWaitMs(upstream)),
		/** Records that a request is being sent; also without a limit, since one that is named later counts it. */
		recordSend: sends.recordSend,
	};
}
