/**
 * Spreads what each gateway has to all others: free tokens, own requests at
 * upstreams, the version of the deployment, and a stop.
 *
 * A gateway sends its own entry to a few others in turn, which pass it on once
 * (an epidemic as by Demers et al., 1987, with entries piggybacked as in SWIM).
 * So it sends and reads the same number of datagrams in a fleet of any size.
 * News need not arrive: the next entry of a gateway replaces one that was lost.
 *
 * @module
 */
import type {EventLog, PeerEntry} from '../protocol/mod.js';
import type {PeerView, PeerViews, PlacedPrompt} from '../state/mod.js';
import type {Clock} from '../transport/mod.js';
import {
	decodeEntry, decodeNews, encodeEntry, encodeNews,
} from './news-codec.js';
import {computeNewsRate, fanOut, type NewsRate} from './news-rate.js';

/** A gateway that takes news. */
export type NewsPeer = {
	readonly daemon: string;
	/** Where it takes datagrams: IP number and port. */
	readonly newsAddress: string;
};

/** Options of {@linkcode createPeerNews}. */
export type CreatePeerNewsOptions = {
	readonly clock: Clock;
	readonly events: EventLog;
	readonly daemon: string;
	readonly views: PeerViews;
	/** Gateways that the log of grants names, without this one. */
	readonly listPeers: () => readonly NewsPeer[];
	/** What this gateway has, now. */
	readonly readOwn: () => PeerView;
	readonly send: (message: Uint8Array, addresses: readonly string[]) => void;
	/** Called with each view that arrives. */
	readonly onView: (view: PeerView) => void;
	/** Called with each prompt that another gateway has placed. */
	readonly onPrompt: (prompt: PlacedPrompt) => void;
	/** Draws a number from 0 to 1. */
	readonly random: () => number;
};

/** Spreads news between gateways. */
export type PeerNews = ReturnType<typeof createPeerNews>;

/** Bytes of a datagram that are filled with others' entries, under the usual size of a packet. */
const datagramBytes = 1300;
/** Bytes of an entry beside its state: names, number and lengths. */
const entryOverhead = 50;
/** Prompts that one datagram tells of. */
const promptsTold = 16;
/** Free tokens are told with each so many of a gateway's entries; they are only wanted by one that is short. */
const freeEvery = 4;
/** A gateway that was silent for so long, in milliseconds, is taken for lost: it restarts in less, and so do most cuts end. */
const silenceLife = 10_000;

/**
 * Creates the news; `run` is its task.
 *
 * @example
 * ```ts
 * void news.run(signal);
 * socket.onMessage = news.take;
 * ```
 *
 * @param options Peers, and the way to them
 * @returns The news
 */
export function createPeerNews(options: CreatePeerNewsOptions) {
	const {
		clock, events, views, daemon,
	} = options;
	/** Clock at which a gateway was last heard, or first asked for. */
	const heardAt = new Map<string, number>();
	/** Entries to be passed on, by their gateway; the one that has waited longest first. */
	const waiting = new Map<string, PeerEntry>();
	const prompts: PlacedPrompt[] = [];
	let turn: NewsPeer[] = [];
	let sequence = 0;
	let toldAt = Number.NEGATIVE_INFINITY;
	let hasChanged = false;
	let rate: NewsRate = computeNewsRate(1);

	function countSinceHeard(peer: string): number {
		const at = heardAt.get(peer) ?? clock.now();
		heardAt.set(peer, at);
		return clock.now() - at;
	}

	function takeView(view: PeerView, entry: number): void {
		if (!views.has(view.daemon)) {
			events.write('peerBack', {peer: view.daemon, incarnation: view.incarnation});
		}

		views.put(view, {sequence: entry, now: clock.now()});
		heardAt.set(view.daemon, clock.now());
		options.onView(view);
	}

	function takeEntry(entry: PeerEntry): void {
		if (entry.daemon === daemon || !views.isNewer(entry)) {
			return;
		}

		const view = decodeEntry(entry, views.get(entry.daemon));
		if (view.err) {
			events.write('peerNewsUnreadable', {detail: view.val.detail});
			return;
		}

		takeView(view.val, entry.sequence);
		if (rate.passesOn) {
			// A gateway's newer entry takes the place of its older one, so that none waits for good.
			waiting.set(entry.daemon, entry);
		}
	}

	// Guards against suspecting everyone after a pause of this process: what was sent meanwhile is read after the first turn.
	function dropSilent(lateness: number): void {
		for (const peer of views.dropStale(clock.now() - rate.viewLife - lateness)) {
			events.write('peerSuspected', {peer, detail: `Nothing was heard of it for ${rate.viewLife} ms`});
		}
	}

	function isOwnDue(): boolean {
		return clock.now() - toldAt >= (hasChanged ? rate.entryPause : rate.quietPause);
	}

	function buildOwn(): PeerEntry {
		sequence += 1;
		toldAt = clock.now();
		hasChanged = false;
		return encodeEntry(options.readOwn(), {sequence, tellsFree: sequence % freeEvery === 1});
	}

	function takeWaiting(room: number): PeerEntry[] {
		const taken: PeerEntry[] = [];
		let left = room;
		for (const [peer, entry] of waiting) {
			left -= entry.state.length + entryOverhead;
			if (left < 0) {
				break;
			}

			waiting.delete(peer);
			taken.push(entry);
		}

		return taken;
	}

	// Each peer has its turn before any has another, in an order drawn anew.
	function takeTurn(): NewsPeer[] {
		const peers = options.listPeers();
		if (peers.length <= fanOut) {
			return [...peers];
		}

		if (turn.length < fanOut) {
			turn = peers.map(peer => ({peer, order: options.random()})).sort((left, right) => left.order - right.order).map(({peer}) => peer);
		}

		return turn.splice(0, fanOut);
	}

	function tell(): void {
		const own = isOwnDue() ? [buildOwn()] : [];
		const room = datagramBytes - own.reduce((sum, {state}) => sum + state.length + entryOverhead, 0);
		const entries = [...own, ...takeWaiting(room)];
		const told = own.length > 0 ? prompts.splice(0) : [];
		if (entries.length > 0) {
			options.send(encodeNews(entries, told.slice(-promptsTold)), takeTurn().map(({newsAddress}) => newsAddress));
		}
	}

	return {
		/** Takes a datagram from another gateway. */
		take(message: Uint8Array): void {
			const news = decodeNews(message);
			if (news.err) {
				events.write('peerNewsUnreadable', {detail: news.val.detail});
				return;
			}

			for (const entry of news.val.entries) {
				takeEntry(entry);
			}

			for (const prompt of news.val.prompts) {
				options.onPrompt(prompt);
			}
		},

		/** Notes that what this gateway has is no longer what it last told. */
		noteChange(): void {
			hasChanged = true;
		},

		notePrompt(prompt: PlacedPrompt): void {
			prompts.push(prompt);
			hasChanged = true;
		},

		/** Gateways that the log names and that fell silent, or have not been heard yet, within the last seconds. */
		listSilent(): string[] {
			return options.listPeers().map(peer => peer.daemon).filter(peer => !views.has(peer) && countSinceHeard(peer) < silenceLife);
		},

		/** True for a gateway that is heard, or that has not been looked for long enough to tell. */
		isPresumedUp: (peer: string): boolean => views.has(peer) || countSinceHeard(peer) < rate.viewLife,

		async run(signal: AbortSignal): Promise<void> {
			let dueAt = clock.now();
			while (!signal.aborted) {
				rate = computeNewsRate(options.listPeers().length + 1);
				dropSilent(clock.now() - dueAt);
				tell();
				const pause = waiting.size > 0 ? rate.busyTick : rate.tick;
				dueAt = clock.now() + pause;
				await clock.sleep(pause, signal);
			}
		},
	};
}
