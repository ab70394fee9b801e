/**
 * Serves other gateways, and turns what they say into the product's types.
 *
 * @module
 */
import type {ServiceImpl} from '@connectrpc/connect';
import type {
	LendAsk, PeerView, PlacementFeed, TokenLending,
} from '../coordination/mod.js';
import type {Gateway} from '../protocol/mod.js';
import {joinSignals} from '../transport/mod.js';

/** A view as it travels, with the deployment's record for a peer that needs it. */
export type GatewayMessage = PeerView & {readonly deployment: Uint8Array};

/** Options of {@linkcode createGatewayPeerInterface}. */
export type CreateGatewayPeerInterfaceOptions = {
	/** Takes a peer's view and returns this gateway's. */
	readonly answerView: (view: GatewayMessage) => GatewayMessage;
	readonly lending: TokenLending;
	readonly feed: PlacementFeed;
	/** Aborted when this gateway stops. */
	readonly signal: AbortSignal;
};

/**
 * Creates the interface to other gateways.
 *
 * @example
 * ```ts
 * router.service(Gateway, createGatewayPeerInterface({answerView, lending}));
 * ```
 *
 * @param options What answers
 * @returns The implementation of the service
 */
export function createGatewayPeerInterface(options: CreateGatewayPeerInterfaceOptions): ServiceImpl<typeof Gateway> {
	return {
		exchange: options.answerView,
		async * followPlacements(_request, context) {
			const ended = joinSignals([context.signal, options.signal]);
			try {
				yield * options.feed.follow(ended.signal);
			} finally {
				ended.clear();
			}
		},
		lend: (ask: LendAsk) => ({tokens: options.lending.lend(ask)}),
	};
}
