/**
 * Serves calls from other gateways.
 *
 * @module
 */
import type {ServiceImpl} from '@connectrpc/connect';
import {
	encodeOrigin, encodePart, type CatchUpAnswer, type CatchUpQuery, type GrantQuery, type GrantReport, type Repayment, type StreamAnswer, type StreamQuery, type TokenLoan, type TokenLoanRequest,
} from '../coordination/mod.js';
import type {Gateway} from '../protocol/mod.js';

/** Options of {@linkcode createGatewayPeerInterface}. */
export type CreateGatewayPeerInterfaceOptions = {
	readonly handleCatchUp: (request: CatchUpQuery) => CatchUpAnswer;
	readonly lend: (request: TokenLoanRequest) => Promise<TokenLoan>;
	readonly receiveRepayment: (repayment: Repayment) => boolean;
	readonly findStream: (query: StreamQuery) => Promise<StreamAnswer>;
	readonly reportGrants: (query: GrantQuery) => GrantReport;
};

/**
 * Creates the interface for other gateways.
 *
 * @example
 * ```ts
 * router.service(Gateway, createGatewayPeerInterface({
 * 	handleCatchUp, lend, receiveRepayment, findStream, reportGrants,
 * }));
 * ```
 *
 * @param options The functions that handle the calls
 * @returns The implementation of the service
 */
export function createGatewayPeerInterface(options: CreateGatewayPeerInterfaceOptions): ServiceImpl<typeof Gateway> {
	return {
		catchUp(request) {
			const {
				deployment, prompts, crashes, parts, readParts,
			} = options.handleCatchUp(request);
			return {
				deployment, prompts: [...prompts], crashes: [...crashes], parts: parts.map(part => encodePart(part)), readParts: [...readParts],
			};
		},
		lend: async request => options.lend(request),
		async findStream({stream, route}) {
			const {record, only} = await options.findStream({stream: stream === '' ? undefined : stream, routeKey: route === '' ? undefined : route});
			return {
				...record && {origin: encodeOrigin(record.origin), ageMs: record.ageMs},
				...only && {only: {...only, origin: encodeOrigin(only.origin)}},
			};
		},
		reportGrants({epoch, known}) {
			const {records, recovery, ...report} = options.reportGrants({epoch, known: new Map(known.map(({key, sequence}) => [key, sequence]))});
			return {...report, records: records.map(({key, record}) => ({key, value: JSON.stringify(record)})), recovery: recovery ? JSON.stringify(recovery) : ''};
		},
		returnLoans: request => ({isAccepted: options.receiveRepayment(request)}),
	};
}
