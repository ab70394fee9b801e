/**
 * Tells other gateways where requests are placed, as it happens.
 *
 * Each gateway places by what it knows of the queues and caches of all
 * upstreams. News that is 250 ms old sends the prompts of four gateways to the
 * same engine, and a shared part to two engines that both read it.
 *
 * @module
 */
import type {PromptPart} from '../protocol/mod.js';
import {joinSignals, type Clock} from '../transport/mod.js';
import type {UpstreamUse} from './peer-exchange.js';

/** A prompt that an upstream reads and then keeps. */
export type PlacedPrompt = {
	readonly upstream: string;
	/** Tokens that the upstream's memory holds. */
	readonly memory: number;
	readonly parts: PromptPart[];
};

/** What changed since the news before. */
export type PlacementNews = {readonly uses: UpstreamUse[]; readonly prompts: PlacedPrompt[]};

/** Options of {@linkcode createPlacementFeed}. */
export type CreatePlacementFeedOptions = {
	readonly clock: Clock;
	/** This gateway's use of one upstream, now. */
	readonly readUse: (upstream: string) => UpstreamUse;
	/** What a new follower is told first. */
	readonly readAll: () => PlacementNews;
};

/** Tells other gateways where requests are placed. */
export type PlacementFeed = ReturnType<typeof createPlacementFeed>;

/**
 * Changes within this span, in milliseconds, travel together: an eighth of the
 * shortest objective of streams, 400 ms. Each message is work for every
 * gateway, and half a core has little to spare after a start: with 10 ms a
 * fleet of four was worth 0.018 less (error 0.009, 14 days with trouble).
 */
const batchSpan = 50;
/** A quiet feed says so after this long, in milliseconds, so that a silent connection shows. */
export const quietSpan = 500;

type Follower = {readonly changed: Set<string>; prompts: PlacedPrompt[]; wake: () => void};

/**
 * Creates the feed of one gateway.
 *
 * @example
 * ```ts
 * const feed = createPlacementFeed({clock, readUse, readAll});
 * for await (const {uses} of feed.follow(signal)) {}
 * ```
 *
 * @param options The clock and what is told
 * @returns The feed
 */
export function createPlacementFeed(options: CreatePlacementFeedOptions) {
	const {clock} = options;
	const followers = new Set<Follower>();

	async function waitForChange(follower: Follower, signal: AbortSignal): Promise<void> {
		if (follower.changed.size > 0 || follower.prompts.length > 0) {
			return;
		}

		const timer = new AbortController();
		const ended = joinSignals([signal, timer.signal]);
		const woken = new Promise<void>(resolve => {
			follower.wake = resolve;
		});
		await Promise.race([woken, clock.sleep(quietSpan, ended.signal)]);
		timer.abort();
		ended.clear();
	}

	function takeNews(follower: Follower): PlacementNews {
		const uses = [...follower.changed].map(upstream => options.readUse(upstream));
		const {prompts} = follower;
		follower.changed.clear();
		follower.prompts = [];
		return {uses, prompts};
	}

	return {
		/** Notes that this gateway's use of an upstream has changed. */
		noteUse(upstream: string): void {
			for (const follower of followers) {
				follower.changed.add(upstream);
				follower.wake();
			}
		},

		notePrompt(prompt: PlacedPrompt): void {
			for (const follower of followers) {
				follower.prompts.push(prompt);
				follower.wake();
			}
		},

		/** Yields what is known, then each change, until the signal is aborted. */
		async * follow(signal: AbortSignal): AsyncGenerator<PlacementNews> {
			const follower: Follower = {changed: new Set(), prompts: [], wake: () => undefined};
			followers.add(follower);
			try {
				yield options.readAll();
				while (!signal.aborted) {
					await waitForChange(follower, signal);
					await clock.sleep(batchSpan, signal);
					yield takeNews(follower);
				}
			} finally {
				followers.delete(follower);
			}
		},
	};
}
