/**
 * Assembles the quarantines of a gateway, for whole requests and for parts of
 * prompts, and their records in the log.
 *
 * @module
 */
import {
	LoggedParts, LoggedRequests, createPartQuarantine, createQuarantine, createQuarantineRecorder, type Gossip, type KeyedFollower,
} from '../coordination/mod.js';
import type {EventLog, KeyedLog, StoredRecord} from '../protocol/mod.js';
import {
	createCrashRegistry, createPartCrashRegistry, type PeerView,
} from '../state/mod.js';
import type {Clock} from '../transport/mod.js';

/** Options of {@linkcode createGatewayQuarantines}. */
export type CreateGatewayQuarantinesOptions = {
	/** This gateway's name. */
	readonly daemon: string;
	readonly log: KeyedLog;
	readonly follower: KeyedFollower;
	/** Other gateways that are presumed to be up. */
	readonly listPeers: () => readonly string[];
	readonly gossip: Pick<Gossip, 'markChanged' | 'markUrgent'>;
	readonly clock: Clock;
	readonly events: EventLog;
	readonly signal: AbortSignal;
};

/** The quarantines of a gateway. */
export type GatewayQuarantines = ReturnType<typeof createGatewayQuarantines>;

/**
 * Creates the quarantines; `run` writes their records until the signal is aborted.
 *
 * @example
 * ```ts
 * const quarantines = createGatewayQuarantines(options);
 * quarantines.run();
 * ```
 *
 * @param options The log, the gossip and the other gateways
 * @returns The quarantines
 */
export function createGatewayQuarantines({daemon, log, follower, listPeers, gossip, clock, events, signal}: CreateGatewayQuarantinesOptions) {
	const crashRegistry = createCrashRegistry();
	const requests = createQuarantine({
		crashRegistry, daemon, listPeers, clock, events,
		onChange() {
			gossip.markChanged();
		},
		onCrash(digest) {
			recorder.recordCrash(loggedRequests, digest);
		},
	});
	const partRegistry = createPartCrashRegistry();
	const parts = createPartQuarantine({
		registry: partRegistry, clock, events,
		// All gateways must know of a part that crashes upstreams within seconds, also in a fleet whose entries are rare.
		onChange({isUrgent}) {
			if (isUrgent) {
				gossip.markUrgent();
			} else {
				gossip.markChanged();
			}
		},
		onCrash(digest) {
			recorder.recordCrash(loggedParts, digest);
		},
		claimTrial: async digest => recorder.claimTrial(digest, {kind: loggedParts, follower, signal}),
	});
	const loggedRequests = new LoggedRequests(crashRegistry, requests);
	const loggedParts = new LoggedParts(partRegistry, parts, clock);
	const recorder = createQuarantineRecorder({
		log, kinds: [loggedRequests, loggedParts], daemon, listPeers, clock, events,
	});

	return {
		requests, parts,
		applyRecord(record: StoredRecord): void {
			recorder.applyRecord(record);
		},

		/** Records that the log was restored from a backup, so that what it lacks is written again. */
		dropLogged: recorder.dropLogged,

		/** Merges the records that another gateway advertises. */
		mergeView({crashes, parts: partRecords}: Pick<PeerView, 'crashes' | 'parts'>): void {
			for (const record of crashes) {
				requests.merge(record, 'peer');
			}

			for (const record of partRecords) {
				parts.merge(record, 'peer');
			}
		},

		prune(): void {
			requests.prune();
			parts.prune();
		},

		run(): void {
			void recorder.run(signal);
		},
	};
}
