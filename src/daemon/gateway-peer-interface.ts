/**
 * Serves other gateways.
 *
 * @module
 */
import type {ServiceImpl} from '@connectrpc/connect';
import type {CatchUpAnswer, CatchUpAsk, TokenLoanRequest} from '../coordination/mod.js';
import type {Gateway} from '../protocol/mod.js';

/** Options of {@linkcode createGatewayPeerInterface}. */
export type CreateGatewayPeerInterfaceOptions = {
	readonly answerCatchUp: (ask: CatchUpAsk) => CatchUpAnswer;
	readonly lend: (ask: TokenLoanRequest) => Promise<number>;
};

/**
 * Creates the interface to other gateways.
 *
 * @example
 * ```ts
 * router.service(Gateway, createGatewayPeerInterface({answerCatchUp, lend}));
 * ```
 *
 * @param options What answers
 * @returns The implementation of the service
 */
export function createGatewayPeerInterface(options: CreateGatewayPeerInterfaceOptions): ServiceImpl<typeof Gateway> {
	return {
		catchUp(ask) {
			const {deployment, prompts, crashes} = options.answerCatchUp(ask);
			return {deployment, prompts: [...prompts], crashes: [...crashes]};
		},
		lend: async ask => ({tokens: await options.lend(ask)}),
	};
}
