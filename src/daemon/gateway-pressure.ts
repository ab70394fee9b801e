/**
 * Logs the seconds in which a gateway limits requests or closes connections
 * unread.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {createPressureCounter, type Admission, type PressureCounter} from '../coordination/mod.js';
import type {EventLog} from '../protocol/mod.js';
import type {CallerServer, Clock} from '../transport/mod.js';
import type {GatewayLoadControl} from './gateway-load.js';

/** Options of {@linkcode createGatewayPressure}. */
export type CreateGatewayPressureOptions = {
	readonly admission: Pick<Admission, 'getLimit' | 'listRefusals'>;
	readonly loadControl: Pick<GatewayLoadControl, 'countPeers' | 'countDomainPeers' | 'countOffers'>;
	readonly callerServer: Pick<CallerServer, 'getStatistics' | 'listRelayed'>;
	readonly countRunning: () => number;
	readonly clock: Pick<Clock, 'now'>;
	readonly events: EventLog;
};

/**
 * Creates the counter of a gateway's pressure.
 *
 * @example
 * ```ts
 * const pressure = createGatewayPressure(options);
 * pressure.recordLag(80);
 * ```
 *
 * @param options What is counted
 * @returns The counter
 */
export function createGatewayPressure({admission, loadControl, callerServer, countRunning, clock, events}: CreateGatewayPressureOptions): PressureCounter {
	return createPressureCounter({
		clock,
		readCounters() {
			const {connections, dropped, requests, relayed, abandoned} = callerServer.getStatistics();
			return {
				connections, dropped, requests, relayed, abandoned,
				refused: admission.listRefusals().reduce((sum, {count}) => sum + count, 0),
				busyMs: performance.eventLoopUtilization().active,
				relaying: callerServer.listRelayed().length,
				offers: loadControl.countOffers(),
				running: countRunning(),
				limit: admission.getLimit(),
			};
		},
		countPeers: loadControl.countPeers,
		countDomainPeers: loadControl.countDomainPeers,
		onSummary(summary) {
			events.write('pressureCounted', summary);
		},
	});
}
