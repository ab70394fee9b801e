/**
 * Gossip between gateways. Each gateway advertises its free tokens, its requests
 * at upstreams, suspected requests, the version of its deployment and whether it
 * is leaving.
 *
 * A gateway sends its own entry to a few others at a time, which forward it once
 * (an epidemic protocol as in Demers et al., 1987, with entries piggybacked as in
 * SWIM). The number of datagrams that a gateway sends and receives therefore does
 * not depend on the size of the fleet. Datagrams may be lost: the next entry of a
 * gateway replaces the previous one.
 *
 * @module
 */
import type {EventLog, PeerEntry, PeerNews} from '../../protocol/mod.js';
import type {PeerView, PeerViews, PlacedPrompt} from '../../state/mod.js';
import type {Clock} from '../../transport/mod.js';
import type {StreamAnnouncement} from '../streams/stream-recorder.js';
import {
	decodeEntry, decodeGossip, encodeEntry, encodeGossip, encodeStream, listPrompts, listStreams,
} from './gossip-codec.js';
import {computeGossipRate, type GossipRate} from './gossip-rate.js';
import type {GossipPeer, ReceiverPolicy} from './gossip-receivers.js';

/** Options of {@linkcode createGossip}. */
export type CreateGossipOptions = {
	readonly clock: Clock;
	readonly events: EventLog;
	readonly daemon: string;
	readonly views: PeerViews;
	/** Lists the gateways recorded in the log of grants, except this one. */
	readonly listPeers: () => readonly GossipPeer[];
	/** Returns the current state of this gateway. */
	readonly getOwnView: () => PeerView;
	readonly send: (message: Uint8Array, receivers: readonly GossipPeer[]) => void;
	readonly receiverPolicy: ReceiverPolicy;
	/** Called when a gateway begins to be heard from, whether or not the log shows it yet. */
	readonly onPeerBack?: (peer: string) => void;
	/** Called with each view received. */
	readonly onView: (view: PeerView) => void;
	/** Called with each prompt placed by another gateway. */
	readonly onPrompt: (prompt: PlacedPrompt) => void;
	/** Called with each stream that another gateway announces. */
	readonly onStream: (announcement: StreamAnnouncement) => void;
};

/** Gossip between gateways. */
export type Gossip = ReturnType<typeof createGossip>;

/** Size up to which a datagram is filled with entries of other gateways; below the usual packet size. */
const targetDatagramBytes = 1300;
/** Size of an entry without its state: names, sequence number and lengths. */
const entryOverheadBytes = 50;
const maxPromptsPerDatagram = 16;
/** Free tokens are included in every fourth entry only, because only gateways with insufficient tokens need them. */
const freeTokensEntryInterval = 4;
/** A gateway that has not been heard from for this long is presumed failed; restarts and most network partitions take less time. */
const failureTimeoutMs = 10_000;

/**
 * Creates the gossip of one gateway; `run` sends until its signal is aborted.
 *
 * @example
 * ```ts
 * void gossip.run(signal);
 * socket.onMessage = gossip.handleMessage;
 * ```
 *
 * @param options The peers and the callbacks that receive their views
 * @returns The gossip
 */
export function createGossip(options: CreateGossipOptions) {
	const {
		clock, events, views, daemon,
	} = options;
	/** When each gateway was last heard from or, if it never was, first looked up. */
	const lastHeardAt = new Map<string, number>();
	/** Gateways that were heard from at any time. */
	const heard = new Set<string>();
	/** Entries to forward, by gateway; the one that has waited longest comes first. */
	const pendingEntries = new Map<string, PeerEntry>();
	const pendingPrompts: PlacedPrompt[] = [];
	let sequence = 0;
	let ownEntryBuiltAt = Number.NEGATIVE_INFINITY;
	let hasChanged = false;
	let isUrgent = false;
	let rate: GossipRate = computeGossipRate(1);

	function computeMsSinceHeard(peer: string): number {
		const heardAt = lastHeardAt.get(peer) ?? clock.now();
		lastHeardAt.set(peer, heardAt);
		return clock.now() - heardAt;
	}

	function storeView(view: PeerView, entrySequence: number): void {
		if (!views.has(view.daemon)) {
			events.write('peerBack', {peer: view.daemon, incarnation: view.incarnation});
			options.onPeerBack?.(view.daemon);
		}

		views.put(view, {sequence: entrySequence, now: clock.now()});
		lastHeardAt.set(view.daemon, clock.now());
		heard.add(view.daemon);
		options.onView(view);
	}

	function handleEntry(entry: PeerEntry): void {
		if (entry.daemon === daemon || !views.isNewer(entry)) {
			return;
		}

		const view = decodeEntry(entry, views.get(entry.daemon));
		if (view.err) {
			events.write('peerNewsUnreadable', {detail: view.val.detail});
			return;
		}

		storeView(view.val, entry.sequence);
		if (rate.isForwarding) {
			// Setting an existing key of a map keeps its position: a newer entry replaces the older one without losing its place in the queue.
			pendingEntries.set(entry.daemon, entry);
		}
	}

	// Guards against suspecting all peers after this process was paused: datagrams sent during the pause are read only after the
	// first iteration of `run`, so the timeout is extended by the time that the iteration is late.
	function dropUnresponsive(latenessMs: number): void {
		for (const peer of views.dropStale(clock.now() - rate.viewTimeoutMs - latenessMs)) {
			events.write('peerSuspected', {peer, detail: `No gossip received for ${rate.viewTimeoutMs} ms`});
		}
	}

	function isOwnEntryDue(): boolean {
		return isUrgent || clock.now() - ownEntryBuiltAt >= (hasChanged ? rate.entryIntervalMs : rate.idleEntryIntervalMs);
	}

	function buildOwnEntry(): PeerEntry {
		sequence += 1;
		ownEntryBuiltAt = clock.now();
		hasChanged = false;
		isUrgent = false;
		return encodeEntry(options.getOwnView(), {sequence, shouldIncludeFreeTokens: sequence % freeTokensEntryInterval === 1});
	}

	function takePendingEntries(capacityBytes: number): PeerEntry[] {
		const entries: PeerEntry[] = [];
		let remainingBytes = capacityBytes;
		for (const [peer, entry] of pendingEntries) {
			remainingBytes -= entry.state.length + entryOverheadBytes;
			if (remainingBytes < 0) {
				break;
			}

			pendingEntries.delete(peer);
			entries.push(entry);
		}

		return entries;
	}

	function sendMessage(): void {
		const ownEntries = isOwnEntryDue() ? [buildOwnEntry()] : [];
		const remainingBytes = targetDatagramBytes - ownEntries.reduce((sum, {state}) => sum + state.length + entryOverheadBytes, 0);
		const entries = [...ownEntries, ...takePendingEntries(remainingBytes)];
		const prompts = ownEntries.length > 0 ? pendingPrompts.splice(0) : [];
		if (entries.length > 0) {
			options.send(encodeGossip(entries, prompts.slice(-maxPromptsPerDatagram)), options.receiverPolicy.select(options.listPeers()));
		}
	}

	function deliver(news: PeerNews): void {
		for (const entry of news.entries) {
			handleEntry(entry);
		}

		for (const prompt of listPrompts(news)) {
			options.onPrompt(prompt);
		}

		for (const announcement of listStreams(news)) {
			options.onStream(announcement);
		}
	}

	// Whatever a peer or the log has told is part of the message. What cannot be sent must not end the process.
	function trySendMessage(): void {
		try {
			sendMessage();
		} catch (error) {
			events.write('peerNewsLost', {detail: (error as Error).message});
		}
	}

	return {
		/** Handles a message received from another gateway. */
		handleMessage(message: Uint8Array): void {
			const decoded = decodeGossip(message);
			if (decoded.err) {
				events.write('peerNewsUnreadable', {detail: decoded.val.detail});
				return;
			}

			try {
				deliver(decoded.val);
			} catch (error) {
				events.write('peerNewsUnreadable', {detail: (error as Error).message});
			}
		},

		/** Marks the state of this gateway as changed since its last entry, so that the next entry is sent sooner. */
		markChanged(): void {
			hasChanged = true;
		},

		/** Has the next datagram include the state of this gateway, whatever the size of the fleet. */
		markUrgent(): void {
			hasChanged = true;
			isUrgent = true;
		},

		/** Queues a prompt that this gateway has placed, to be sent with its next entry. */
		announcePrompt(prompt: PlacedPrompt): void {
			pendingPrompts.push(prompt);
			hasChanged = true;
		},

		/** Sends an announcement of a stream at once, without waiting for the next entry. */
		announceStream(announcement: StreamAnnouncement, receivers: readonly GossipPeer[]): void {
			if (receivers.length > 0) {
				options.send(encodeStream(announcement), receivers);
			}
		},

		/** Returns the gateways recorded in the log that are unresponsive, or have not been heard from yet, but are not presumed failed. */
		listUnresponsive(): string[] {
			return options.listPeers().map(peer => peer.daemon).filter(peer => !views.has(peer) && computeMsSinceHeard(peer) < failureTimeoutMs);
		},

		/** Returns the gateways recorded in the log that have had too little time to send gossip, but may answer a call. */
		listUnheard: (): GossipPeer[] => options.listPeers().filter(({daemon: peer}) => !heard.has(peer) && computeMsSinceHeard(peer) < rate.viewTimeoutMs),

		/** Returns true for a gateway that has not been heard from for so long that it is presumed failed. */
		isPresumedFailed: (peer: string): boolean => !views.has(peer) && computeMsSinceHeard(peer) >= failureTimeoutMs,

		/** Returns true for a gateway that has been heard from recently or that has had too little time to send gossip. */
		isPresumedUp: (peer: string): boolean => views.has(peer) || computeMsSinceHeard(peer) < rate.viewTimeoutMs,

		async run(signal: AbortSignal): Promise<void> {
			let dueAt = clock.now();
			while (!signal.aborted) {
				rate = computeGossipRate(options.listPeers().length + 1);
				dropUnresponsive(clock.now() - dueAt);
				trySendMessage();
				const pauseMs = pendingEntries.size > 0 ? rate.backlogIntervalMs : rate.datagramIntervalMs;
				dueAt = clock.now() + pauseMs;
				await clock.sleep(pauseMs, signal);
			}
		},
	};
}
