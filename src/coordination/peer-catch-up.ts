/**
 * Brings a gateway what one of its peers knows and it does not: a newer
 * deployment, and after a start what upstreams keep in their caches.
 *
 * @module
 */
import type {EventLog} from '../protocol/mod.js';
import type {CrashRecord, PeerView, PlacedPrompt} from '../state/mod.js';
import type {Clock} from '../transport/mod.js';

/** What to ask a peer for. */
export type CatchUpAsk = {readonly knownVersion: number; readonly wantsPrompts: boolean};

/** What a peer knows. */
export type CatchUpAnswer = {
	/** The deployment's record; empty unless it is newer. */
	readonly deployment: Uint8Array;
	readonly prompts: readonly PlacedPrompt[];
	readonly crashes: readonly CrashRecord[];
};

/** Options of {@linkcode createPeerCatchUp}. */
export type CreatePeerCatchUpOptions = {
	readonly clock: Clock;
	readonly events: EventLog;
	/** Version of the deployment in force here; 0 before the first. */
	readonly findVersion: () => number;
	/** Asks one peer; throws when it does not answer. */
	readonly ask: (address: string, ask: CatchUpAsk) => Promise<CatchUpAnswer>;
	/** Called with a newer deployment's record. */
	readonly onDeployment: (record: string, peer: string) => void;
	readonly onPrompt: (prompt: PlacedPrompt) => void;
	readonly onCrashes: (record: CrashRecord) => void;
	/** Abandons the connection to a peer that does not answer. */
	readonly abandon: (address: string) => void;
};

/** Brings a gateway what its peers know. */
export type PeerCatchUp = ReturnType<typeof createPeerCatchUp>;

/** The own read of the log usually brings a newer deployment within this time, in milliseconds. */
const ownReadSpan = 100;

/**
 * Creates the catch-up.
 *
 * @example
 * ```ts
 * const catchUp = createPeerCatchUp(options);
 * catchUp.note(view);
 * ```
 *
 * @param options The way to peers, and what takes their answers
 * @returns The catch-up
 */
export function createPeerCatchUp(options: CreatePeerCatchUpOptions) {
	const {clock, events, findVersion} = options;
	let wantsPrompts = true;
	let isAsking = false;

	async function fetchFrom({address, daemon}: PeerView): Promise<void> {
		try {
			const answer = await options.ask(address, {knownVersion: findVersion(), wantsPrompts});
			wantsPrompts = false;
			for (const prompt of answer.prompts) {
				options.onPrompt(prompt);
			}

			for (const record of answer.crashes) {
				options.onCrashes(record);
			}

			if (answer.deployment.length > 0) {
				options.onDeployment(new TextDecoder().decode(answer.deployment), daemon);
			}
		} catch (error) {
			events.write('peerSuspected', {peer: daemon, detail: (error as Error).message});
			options.abandon(address);
		}
	}

	async function catchUp(view: PeerView): Promise<void> {
		isAsking = true;
		await clock.sleep(ownReadSpan);
		if (wantsPrompts || view.version > findVersion()) {
			await fetchFrom(view);
		}

		isAsking = false;
	}

	return {
		/** Takes what a peer says of itself, and asks it if it knows more. */
		note(view: PeerView): void {
			if (!isAsking && (wantsPrompts || view.version > findVersion())) {
				void catchUp(view);
			}
		},
	};
}
