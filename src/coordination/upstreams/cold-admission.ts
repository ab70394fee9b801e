/**
 * Limits the requests that a gateway sends to cold upstreams.
 *
 * Answers the load of an upstream that returns with an empty batch and a whole
 * shared prompt waiting for it: without a limit, rendezvous hashing sends the
 * requests of every gateway for that prompt to it at once.
 *
 * @module
 */
import {createSendWindow, type CreateSendWindowOptions} from './send-window.js';

/** Options of {@linkcode createColdAdmission}. */
export type CreateColdAdmissionOptions = Omit<CreateSendWindowOptions, 'windowMs'> & {
	/** Factor by which the requests in a second may exceed the rate that a cold upstream tolerates. */
	readonly overage: number;
	/** Number of requests in a second that may exceed that product. */
	readonly slack: number;
};

/** Limits the requests that a gateway sends to cold upstreams. */
export type ColdAdmission = ReturnType<typeof createColdAdmission>;

/** One second, and the time by which a request may leave the process after it was recorded. */
const windowMs = 1100;

/**
 * Creates the limit of one gateway.
 *
 * @example
 * ```ts
 * const admission = createColdAdmission({clock, processStartedAt: 0, daemon: 'entry-1', policy: new OwnedShare(), listGateways, overage: 1.5, slack: 5});
 * if (admission.computeWaitMs('engine-7', 5) === 0) {
 * 	admission.recordSend('engine-7');
 * }
 * ```
 *
 * @param options The fleet and the limit
 * @returns The limit
 */
export function createColdAdmission({overage, slack, ...fleet}: CreateColdAdmissionOptions) {
	const sends = createSendWindow({...fleet, windowMs});

	return {
		/**
		 * Returns the milliseconds until this gateway may send a request to a cold
		 * upstream that tolerates `coldRate` requests per second; infinite if it is left
		 * to other gateways.
		 */
		computeWaitMs: (upstream: string, coldRate: number): number => sends.computeWaitMs(upstream, {limit: Math.floor((coldRate * overage) + slack)}),
		/** Records that a request is being sent. */
		recordSend: sends.recordSend,
	};
}
