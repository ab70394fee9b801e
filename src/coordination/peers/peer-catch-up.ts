/**
 * Fetches state that a gateway lacks from one of its peers: a newer deployment
 * and, after a start, the prompts in the caches of upstreams and the records of
 * requests and parts of prompts that crash upstreams.
 *
 * @module
 */
import type {EventLog} from '../../protocol/mod.js';
import type {
	CrashRecord, PartAnnouncement, PeerView, PlacedPrompt,
} from '../../state/mod.js';
import type {Clock} from '../../transport/mod.js';

/** Query to a peer. */
export type CatchUpQuery = {readonly knownVersion: number; readonly wantsPrompts: boolean};

/** Answer of a peer. */
export type CatchUpAnswer = {
	/** Record of the peer's deployment; empty unless it is newer. */
	readonly deployment: Uint8Array;
	readonly prompts: readonly PlacedPrompt[];
	readonly crashes: readonly CrashRecord[];
	readonly parts: readonly PartAnnouncement[];
	/** Digests of parts of prompts that upstreams have read without a crash a moment ago. */
	readonly readParts: readonly string[];
};

/** Options of {@linkcode createPeerCatchUp}. */
export type CreatePeerCatchUpOptions = {
	readonly clock: Clock;
	readonly events: EventLog;
	/** Returns the version of the deployment in force at this gateway; 0 before the first. */
	readonly findVersion: () => number;
	/** Queries one peer; throws if it does not respond. */
	readonly queryPeer: (address: string, query: CatchUpQuery) => Promise<CatchUpAnswer>;
	/** Called with the record of a newer deployment. */
	readonly onDeployment: (record: string, peer: string) => void;
	readonly onPrompt: (prompt: PlacedPrompt) => void;
	readonly onCrashRecord: (record: CrashRecord) => void;
	readonly onPartRecord: (record: PartAnnouncement) => void;
	readonly onReadParts: (digests: readonly string[]) => void;
	/** Abandons the connection to a peer that does not respond. */
	readonly abandonConnection: (address: string) => void;
};

/** Fetches state that a gateway lacks from its peers. */
export type PeerCatchUp = ReturnType<typeof createPeerCatchUp>;

/** Delay before a peer is queried: this gateway's own read of the log usually returns a newer deployment within this time. */
const ownReadDelayMs = 100;

/**
 * Creates a catch-up that queries one peer at a time.
 *
 * @example
 * ```ts
 * const catchUp = createPeerCatchUp(options);
 * catchUp.handleView(view);
 * ```
 *
 * @param options The function that queries a peer and the callbacks that receive the answers
 * @returns The catch-up
 */
export function createPeerCatchUp(options: CreatePeerCatchUpOptions) {
	const {clock, events, findVersion} = options;
	let wantsPrompts = true;
	let isQuerying = false;

	async function fetchFrom({address, daemon}: PeerView): Promise<void> {
		try {
			const answer = await options.queryPeer(address, {knownVersion: findVersion(), wantsPrompts});
			wantsPrompts = false;
			for (const prompt of answer.prompts) {
				options.onPrompt(prompt);
			}

			for (const record of answer.crashes) {
				options.onCrashRecord(record);
			}

			// Before the records, so that parts that are part of most requests are not blamed for the crashes of others.
			options.onReadParts(answer.readParts);
			for (const record of answer.parts) {
				options.onPartRecord(record);
			}

			if (answer.deployment.length > 0) {
				options.onDeployment(new TextDecoder().decode(answer.deployment), daemon);
			}
		} catch (error) {
			events.write('peerSuspected', {peer: daemon, detail: (error as Error).message});
			options.abandonConnection(address);
		}
	}

	async function catchUp(view: PeerView): Promise<void> {
		isQuerying = true;
		try {
			await clock.sleep(ownReadDelayMs);
			if (wantsPrompts || view.version > findVersion()) {
				await fetchFrom(view);
			}
		} catch (error) {
			events.write('peerSuspected', {peer: view.daemon, detail: (error as Error).message});
		} finally {
			isQuerying = false;
		}
	}

	return {
		/** Handles the view that a peer advertises, and queries the peer if it may have state that this gateway lacks. */
		handleView(view: PeerView): void {
			if (!isQuerying && (wantsPrompts || view.version > findVersion())) {
				void catchUp(view);
			}
		},
	};
}
