/**
 * Connects the decision to hand connections over with the callers' server and
 * with what other gateways advertise.
 *
 * @module
 */
import {
	createHandOverDecision, createPeerBreaker, type Admission, type HandOverCandidate, type HandOverDecision,
} from '../coordination/mod.js';
import type {EventLog, GatewaySettings} from '../protocol/mod.js';
import type {PeerViews} from '../state/mod.js';
import type {CallerServer, Clock, RefusedRelay} from '../transport/mod.js';

/** Options of {@linkcode createGatewayHandOver}. */
export type CreateGatewayHandOverOptions = {
	readonly settings: Pick<GatewaySettings, 'failureDomain'>;
	readonly admission: Pick<Admission, 'countRoom' | 'getLimit' | 'isLagging'>;
	readonly peerViews: Pick<PeerViews, 'findReceivedAt' | 'list'>;
	readonly isStopping: () => boolean;
	/** Version of the deployment in force; 0 before the first. */
	readonly getDeploymentVersion: () => number;
	readonly clock: Pick<Clock, 'now'>;
	readonly events: EventLog;
};

/** What hand-over needs of the callers' server. */
export type HandOverServer = Pick<CallerServer, 'listRelayed' | 'resetUnansweredRelays' | 'setDrainPolicy' | 'setRelayPolicy'>;

/** Hands connections of a gateway over. */
export type GatewayHandOver = Pick<HandOverDecision, 'canHandOver' | 'countOffers' | 'countRoom'> & {
	/** Has the decision apply to the callers' server. */
	readonly attach: (server: HandOverServer) => void;
};

/**
 * Creates the hand-over of a gateway.
 *
 * @example
 * ```ts
 * const handOver = createGatewayHandOver(options);
 * handOver.attach(callerServer);
 * ```
 *
 * @param options The room at this gateway, and what it knows of others
 * @returns The hand-over
 */
export function createGatewayHandOver(options: CreateGatewayHandOverOptions): GatewayHandOver {
	const {settings, admission, peerViews, clock, events} = options;
	let callerServer: HandOverServer | undefined;
	/** Gateways by the address that they offered; one that is busy may offer it no longer. */
	const daemons = new Map<string, string>();

	// A gateway with an older deployment would serve a request as the caller's gateway no longer may.
	function listCandidates(): HandOverCandidate[] {
		return peerViews.list().flatMap(({daemon, isLeaving, version, load}) => {
			if (!load?.handOver || isLeaving || version < options.getDeploymentVersion()) {
				return [];
			}

			daemons.set(load.handOver.address, daemon);
			return [{...load.handOver, failureDomain: load.failureDomain}];
		});
	}

	const breaker = createPeerBreaker({
		clock,
		findHeardAt(address) {
			const daemon = daemons.get(address);
			return daemon === undefined ? undefined : peerViews.findReceivedAt(daemon);
		},
		// Its callers can try again now; later they would have no time left.
		onUnresponsive(address) {
			events.write('handOverPeerUnresponsive', {address, reset: callerServer?.resetUnansweredRelays(address) ?? 0});
		},
	});
	const decision = createHandOverDecision({
		failureDomain: settings.failureDomain, clock, random: Math.random,
		getLimit: admission.getLimit, countRoom: admission.countRoom, isLagging: admission.isLagging,
		listOpen: () => callerServer?.listRelayed() ?? [],
		breaker, listCandidates,
	});

	function recordRefused({address, reason, detail}: RefusedRelay): void {
		events.write('handOverFailed', {address, reason, detail});
		breaker.recordFailure({address, isTimeout: reason === 'timeout'});
	}

	return {
		canHandOver: decision.canHandOver,
		countOffers: decision.countOffers,
		countRoom: decision.countRoom,
		attach(server) {
			callerServer = server;
			// Callers whose connections are closed unread come back at once, which only helps if they are then handed over.
			server.setDrainPolicy(() => admission.isLagging() && decision.canHandOver());
			server.setRelayPolicy({
				selectAddress: awaiting => options.isStopping() ? undefined : decision.select(awaiting)?.address,
				recordAccepted: breaker.recordAccepted,
				recordRefused,
			});
		},
	};
}
