/**
 * Queries other gateways for the grants that they know.
 *
 * @module
 */
import {holderRecordSchema, recoveryRecordSchema} from '../../state/mod.js';
import type {FleetClient} from '../../transport/mod.js';
import type {CreateGrantRecoveryOptions} from './grant-recovery.js';

/** Options of {@linkcode createGrantReportClient}. */
export type CreateGrantReportClientOptions = {
	readonly fleet: FleetClient;
	readonly timeoutMs: number;
};

/**
 * Creates a client for reports of grants.
 *
 * A gateway of an earlier version does not have the call. The query fails, and
 * tokens are reserved for the gateway as for one that does not answer.
 *
 * @example
 * ```ts
 * const queryPeer = createGrantReportClient({fleet, timeoutMs: 300});
 * const report = await queryPeer('10.0.0.7:7340', {epoch: 2, known: new Map()});
 * ```
 *
 * @param options The client of the fleet and the timeout of a call
 * @returns The function that queries a gateway
 */
export function createGrantReportClient({fleet, timeoutMs}: CreateGrantReportClientOptions): CreateGrantRecoveryOptions['queryPeer'] {
	return async (address, {epoch, known}) => {
		const {incarnation, isWitness, records, recovery} = await fleet.connect(address).gateway.reportGrants({
			epoch, known: [...known].map(([key, sequence]) => ({key, sequence})),
		}, {timeoutMs});
		return {
			incarnation,
			isWitness,
			records: records.map(({key, value}) => ({key, record: holderRecordSchema.parse(JSON.parse(value))})),
			recovery: recovery === '' ? undefined : recoveryRecordSchema.parse(JSON.parse(recovery)),
		};
	};
}
