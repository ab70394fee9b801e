/**
 * Decides whether a gateway accepts a connection before it knows a deployment.
 *
 * Answers the load after a restart of all processes: callers send requests that
 * the gateway can only reject, and their bodies fill the link that it needs to
 * read the deployment. A small gateway read and rejected 426 requests of 17 KB
 * in 5 s and could not read the deployment meanwhile.
 *
 * @module
 */
import type {Clock} from '../../transport/mod.js';

/** Options of {@linkcode createStartAdmission}. */
export type CreateStartAdmissionOptions = {
	/** Undefined if the capacity of the link is unknown; then every connection is accepted. */
	readonly linkBytesPerSecond: number | undefined;
	readonly clock: Pick<Clock, 'now'>;
	readonly hasDeployment: () => boolean;
	/** Called when the gateway begins or ends to close connections unread. */
	readonly onChange: (change: {readonly isLimited: boolean; readonly rejectionShare: number}) => void;
};

/** Decides whether a connection is accepted. */
export type StartAdmission = ReturnType<typeof createStartAdmission>;

/** Share of the link that rejected requests may use: the reads of the store get the larger part, and most callers still learn when to retry. */
const maxRejectionShare = 0.25;
/** Time over which the bytes of rejected requests are averaged: the 250 ms between two measurements are too short to hold one request per gateway on average. */
const windowMs = 1000;
/** Bytes that an accepted connection is expected to bring until they are measured: a long prompt and its headers. */
const expectedRequestBytes = 18_000;
const millisecondsPerSecond = 1000;

/**
 * Creates the decision for a gateway that has just started.
 *
 * @example
 * ```ts
 * const admission = createStartAdmission({linkBytesPerSecond: 875_000, clock, hasDeployment: () => false, onChange});
 * admission.recordCallerBytes(250_000);
 * admission.shouldAccept(); // false
 * ```
 *
 * @param options The link, the clock, and whether a deployment is known
 * @returns The decision
 */
export function createStartAdmission({linkBytesPerSecond, clock, hasDeployment, onChange}: CreateStartAdmissionOptions) {
	/** Bytes of callers in the measured intervals within the window. */
	const intervals: Array<{readonly at: number; readonly bytes: number}> = [];
	let measuredBytes = 0;
	let unmeasuredConnections = 0;
	let isLimited = false;

	function computeRejectionShare(): number {
		while (intervals.length > 0 && intervals[0]!.at <= clock.now() - windowMs) {
			measuredBytes -= intervals.shift()!.bytes;
		}

		const bytes = measuredBytes + (unmeasuredConnections * expectedRequestBytes);
		return linkBytesPerSecond === undefined ? 0 : bytes * millisecondsPerSecond / windowMs / linkBytesPerSecond;
	}

	function setLimited(limited: boolean, rejectionShare: number): void {
		if (limited !== isLimited) {
			isLimited = limited;
			onChange({isLimited, rejectionShare});
		}
	}

	return {
		/** Records the bytes of callers' connections since the previous call. */
		recordCallerBytes(bytes: number): void {
			unmeasuredConnections = 0;
			if (!hasDeployment()) {
				measuredBytes += bytes;
				intervals.push({at: clock.now(), bytes});
			}

			if (hasDeployment() || computeRejectionShare() <= maxRejectionShare) {
				setLimited(false, 0);
			}
		},

		/** Returns true if the next connection is to be accepted. */
		shouldAccept(): boolean {
			if (hasDeployment()) {
				return true;
			}

			const rejectionShare = computeRejectionShare();
			if (rejectionShare > maxRejectionShare) {
				setLimited(true, rejectionShare);
				return false;
			}

			unmeasuredConnections += 1;
			return true;
		},
	};
}
