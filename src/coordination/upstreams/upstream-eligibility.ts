/**
 * Decides to which upstreams a gateway may send a request now: not to those of
 * an evacuated failure domain nor to those that said that they leave or rest, and
 * to cold ones and those that named a limit only within this gateway's share. A
 * stream that has begun goes only to those of the version that began it.
 *
 * Every request passes `admitSend` just before it is written, also one that was
 * placed seconds ago and waited for a connection.
 *
 * @module
 */
import type {GatewayService} from '../../protocol/mod.js';
import {
	isFitFor, type Evacuations, type LiveUpstream, type StreamOrigin, type UpstreamDepartures, type UpstreamDirectory, type UpstreamRests, type UpstreamStarts,
} from '../../state/mod.js';
import type {Clock} from '../../transport/mod.js';
import type {ColdAdmission} from './cold-admission.js';
import type {LimitAdmission} from './limit-admission.js';

/** Options of {@linkcode createUpstreamEligibility}. */
export type CreateUpstreamEligibilityOptions = {
	readonly directory: UpstreamDirectory;
	readonly evacuations: Pick<Evacuations, 'isEvacuated' | 'findReturnedAt'>;
	/** The upstreams that said that they leave. */
	readonly departures: Pick<UpstreamDepartures, 'isLeaving'>;
	/** The upstreams that asked this gateway for a rest. */
	readonly rests: Pick<UpstreamRests, 'computeWaitMs' | 'recordSend'>;
	/** What is known of the starts of upstreams; by default every registration is believed. */
	readonly starts?: Pick<UpstreamStarts, 'mayMatch'>;
	/** Returns a random number between 0 and 1. */
	readonly random: () => number;
	/** Limits requests to cold upstreams. */
	readonly coldAdmission: ColdAdmission;
	/** Limits requests to upstreams that named a limit. */
	readonly limitAdmission: LimitAdmission;
	/**
	 * Returns true if this gateway has recent records of the deployment, or hears
	 * from other gateways. Without either, upstreams may have become cold unnoticed.
	 */
	readonly isInformed: () => boolean;
	/** Returns true while this gateway's records are too old to send requests by and other gateways have recent ones. */
	readonly isOutdated?: () => boolean;
	readonly clock: Clock;
};

/** Decides to which upstreams a gateway may send a request. */
export type UpstreamEligibility = ReturnType<typeof createUpstreamEligibility>;

/** Why no request may be sent to the live upstreams of a service. */
export type UpstreamBlockage = {
	readonly detail: string;
	/** Time after which a caller may retry, in milliseconds. */
	readonly retryAfterMs: number;
};

/** Retry delay for a caller whose service has all its failure domains evacuated; nobody knows when one returns. */
const evacuatedRetryAfterMs = 1000;
/** Retry delay for a caller whose service has only upstreams that leave; nobody knows when others start. */
const leavingRetryAfterMs = 1000;
/** Retry delay for a caller whose gateway has outdated records: the retry reaches another gateway, and this one is out of rotation by then. */
const outdatedRetryAfterMs = 100;
/** Time over which callers are spread that may retry when an upstream has rested. */
const restSpreadMs = 500;
/** Lower limit of the retry delay while all upstreams are limited; another gateway may have capacity at once. */
const minLimitedRetryAfterMs = 100;

/**
 * Creates the decision of one gateway.
 *
 * @example
 * ```ts
 * const eligibility = createUpstreamEligibility({directory, evacuations, coldAdmission, limitAdmission, isInformed, clock});
 * eligibility.listEligible(service);
 * eligibility.admitSend('engine-7', service);
 * ```
 *
 * @param options What is known of upstreams and failure domains, and the limits of upstreams
 * @returns The decision
 */
export function createUpstreamEligibility(options: CreateUpstreamEligibilityOptions) {
	const {
		directory, evacuations, departures, rests, starts = {mayMatch: () => true}, coldAdmission, limitAdmission, isInformed, isOutdated = () => false, clock, random,
	} = options;

	function isEvacuated({upstream}: LiveUpstream): boolean {
		return evacuations.isEvacuated(upstream.failureDomain);
	}

	// The upstreams of a failure domain that returns may have become cold without having registered again since.
	function computeRemainingColdMs({upstream, warmAt}: LiveUpstream, {coldStart}: GatewayService): number {
		if (!coldStart) {
			return 0;
		}

		if (!isInformed()) {
			return coldStart.duration;
		}

		const returnedAt = evacuations.findReturnedAt(upstream.failureDomain) ?? Number.NEGATIVE_INFINITY;
		return Math.max(0, Math.max(warmAt, returnedAt + coldStart.duration) - clock.now());
	}

	// Returns 0 if this gateway may send a request now; another gateway may have capacity sooner than this one.
	function computeColdWaitMs(live: LiveUpstream, service: GatewayService): number {
		const remainingColdMs = computeRemainingColdMs(live, service);
		return remainingColdMs > 0 ? Math.min(remainingColdMs, coldAdmission.computeWaitMs(live.upstream.id, service.coldStart!.rate)) : 0;
	}

	function isWithinLimits(live: LiveUpstream, service: GatewayService, now: number): boolean {
		return rests.computeWaitMs(live.upstream, now) === 0 && computeColdWaitMs(live, service) === 0 && limitAdmission.computeWaitMs(live.upstream.id) === 0;
	}

	// Callers that are refused in one moment do not all return in the moment in which the rest ends.
	function computeRestRetryAfterMs({upstream}: LiveUpstream): number {
		const waitMs = rests.computeWaitMs(upstream, clock.now());
		return waitMs > 0 ? waitMs + (random() * restSpreadMs) : 0;
	}

	// What began a stream may only be continued by a process whose version is known.
	function mayRun({upstream}: LiveUpstream, origin: StreamOrigin | undefined): boolean {
		return origin === undefined || (isFitFor(upstream, origin) && starts.mayMatch(upstream));
	}

	function listLive(service: GatewayService, origin: StreamOrigin | undefined): LiveUpstream[] {
		return directory.listLive(service.id, clock.now()).filter(live => mayRun(live, origin));
	}

	function listStaying(service: GatewayService, origin: StreamOrigin | undefined): LiveUpstream[] {
		return listLive(service, origin).filter(({upstream}) => !departures.isLeaving(upstream));
	}

	function listInService(service: GatewayService, origin: StreamOrigin | undefined): LiveUpstream[] {
		return listStaying(service, origin).filter(live => !isEvacuated(live));
	}

	return {
		/** Lists the live upstreams of a service that may get a request of this gateway now; `origin` is that of a stream that has begun. */
		listEligible(service: GatewayService, origin?: StreamOrigin): LiveUpstream[] {
			const now = clock.now();
			return isOutdated() ? [] : listLive(service, origin).filter(live => !departures.isLeaving(live.upstream) && !isEvacuated(live) && isWithinLimits(live, service, now));
		},

		/**
		 * Returns true if a request may be sent to an upstream now, and counts it
		 * towards the upstream's limits. Must be called just before the request
		 * is written.
		 */
		admitSend(id: string, service: GatewayService, origin?: StreamOrigin): boolean {
			const now = clock.now();
			const live = directory.findLive(id, now);
			if (!live || isOutdated() || !mayRun(live, origin) || departures.isLeaving(live.upstream) || isEvacuated(live) || !isWithinLimits(live, service, now)) {
				return false;
			}

			if (service.coldStart) {
				coldAdmission.recordSend(id);
			}

			limitAdmission.recordSend(id);
			rests.recordSend(live.upstream, now);

			return true;
		},

		/** Returns why no upstream of a service may get a request although some are live; undefined if none is live or any may. */
		findBlockage(service: GatewayService, origin?: StreamOrigin): UpstreamBlockage | undefined {
			if (listLive(service, origin).length === 0) {
				return undefined;
			}

			if (isOutdated()) {
				return {detail: 'The records of the upstreams are outdated; other gateways have recent ones', retryAfterMs: outdatedRetryAfterMs};
			}

			if (listStaying(service, origin).length === 0) {
				return {detail: 'All upstreams of the service are leaving', retryAfterMs: leavingRetryAfterMs};
			}

			const inService = listInService(service, origin);
			if (inService.length === 0) {
				return {detail: 'All failure domains of the service are evacuated', retryAfterMs: evacuatedRetryAfterMs};
			}

			const waitMs = Math.min(...inService.map(live => Math.max(computeRestRetryAfterMs(live), computeColdWaitMs(live, service), limitAdmission.computeRetryAfterMs(live.upstream.id))));
			return waitMs > 0
				? {detail: 'All upstreams of the service are cold, at rest or at their limit', retryAfterMs: Math.max(minLimitedRetryAfterMs, Math.ceil(waitMs))}
				: undefined;
		},

		/**
		 * Returns true if an upstream is live and listed, neither in its grace period
		 * nor evacuated nor leaving, so that its process is not expected to end.
		 */
		isExpectedUp(id: string): boolean {
			const live = directory.findLive(id, clock.now());
			return live !== undefined && !live.isOnGrace && !departures.isLeaving(live.upstream) && !isEvacuated(live);
		},
	};
}
