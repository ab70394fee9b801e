/**
 * Serves calls from other gateways.
 *
 * @module
 */
import type {ServiceImpl} from '@connectrpc/connect';
import type {
	CatchUpAnswer, CatchUpQuery, Repayment, StreamAnswer, TokenLoanRequest,
} from '../coordination/mod.js';
import type {Gateway} from '../protocol/mod.js';

/** Options of {@linkcode createGatewayPeerInterface}. */
export type CreateGatewayPeerInterfaceOptions = {
	readonly handleCatchUp: (request: CatchUpQuery) => CatchUpAnswer;
	readonly lend: (request: TokenLoanRequest) => Promise<number>;
	readonly receiveRepayment: (repayment: Repayment) => boolean;
	readonly findStream: (stream: string) => StreamAnswer | undefined;
};

/**
 * Creates the interface for other gateways.
 *
 * @example
 * ```ts
 * router.service(Gateway, createGatewayPeerInterface({handleCatchUp, lend, receiveRepayment, findStream}));
 * ```
 *
 * @param options The functions that handle the calls
 * @returns The implementation of the service
 */
export function createGatewayPeerInterface(options: CreateGatewayPeerInterfaceOptions): ServiceImpl<typeof Gateway> {
	return {
		catchUp(request) {
			const {deployment, prompts, crashes} = options.handleCatchUp(request);
			return {deployment, prompts: [...prompts], crashes: [...crashes]};
		},
		lend: async request => ({tokens: await options.lend(request)}),
		findStream({stream}) {
			const answer = options.findStream(stream);
			return answer ? {origin: {...answer.origin}, ageMs: answer.ageMs} : {};
		},
		returnLoans: request => ({isAccepted: options.receiveRepayment(request)}),
	};
}
