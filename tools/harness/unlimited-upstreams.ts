/**
 * An eligibility of upstreams that withholds no request from live ones, for
 * tests of other parts.
 *
 * @module
 */
import {
	UnlimitedShare, createColdAdmission, createLimitAdmission, createUpstreamEligibility, type UpstreamEligibility,
} from '../../src/coordination/mod.js';
import {
	createEvacuations, createUpstreamDepartures, createUpstreamLimits, createUpstreamRests, type Evacuations, type UpstreamDepartures, type UpstreamDirectory, type UpstreamRests,
} from '../../src/state/mod.js';
import type {Clock} from '../../src/transport/mod.js';

/** Options of {@linkcode createUnlimitedEligibility}. */
export type CreateUnlimitedEligibilityOptions = {
	readonly directory: UpstreamDirectory;
	readonly clock: Clock;
	/** Default: no failure domain is evacuated. */
	readonly evacuations?: Evacuations;
	/** Default: no upstream leaves. */
	readonly departures?: UpstreamDepartures;
	/** Default: no upstream rests. */
	readonly rests?: UpstreamRests;
};

/**
 * Creates the eligibility: cold upstreams get any number of requests.
 *
 * @example
 * ```ts
 * const eligibility = createUnlimitedEligibility({directory, clock});
 * createUpstreamRegistry({eligibility, directory, clock, failureDomain: 'd', sumPeerUse});
 * ```
 *
 * @param options The directory of upstreams and the clock
 * @returns The eligibility
 */
export function createUnlimitedEligibility({
	directory, clock, evacuations = createEvacuations(), departures = createUpstreamDepartures(), rests = createUpstreamRests(),
}: CreateUnlimitedEligibilityOptions): UpstreamEligibility {
	const sender = {
		clock, processStartedAt: 0, daemon: 'g', policy: new UnlimitedShare(), listGateways: () => ['g'],
	};
	const coldAdmission = createColdAdmission({...sender, overage: 1, slack: 0});
	const limitAdmission = createLimitAdmission({...sender, limits: createUpstreamLimits()});
	return createUpstreamEligibility({
		directory, evacuations, departures, rests, random: () => 0, coldAdmission, limitAdmission, isInformed: () => true, clock,
	});
}
