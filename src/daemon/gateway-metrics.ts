/**
 * Formats the metrics of a gateway as text.
 *
 * @module
 */
import process from 'node:process';
import type {
	Admission, Metrics, PartQuarantine, Quarantine, StreamRecorder, TokenLending, TrafficCounter,
} from '../coordination/mod.js';
import type {EventLog} from '../protocol/mod.js';
import type {TokenAccount, UpstreamDepartures, UpstreamLimits} from '../state/mod.js';
import type {ByteLimits, CallerServerStatistics} from '../transport/mod.js';
import {notReadyReasons, type GatewayLoadControl} from './gateway-load.js';

/** Options of {@linkcode formatGatewayMetrics}. */
export type FormatGatewayMetricsOptions = {
	readonly metrics: Metrics;
	readonly events: EventLog;
	/** Number of running requests. */
	readonly runningRequests: number;
	/** Version of the deployment in force. */
	readonly deploymentVersion: number;
	readonly account: TokenAccount;
	readonly lending: Pick<TokenLending, 'countUnconfirmed' | 'getLateTokens'>;
	readonly admission: Pick<Admission, 'getLimit' | 'getLagMs' | 'listRefusals'>;
	readonly quarantine: Pick<Quarantine, 'listAll' | 'listHeld'>;
	readonly partQuarantine: Pick<PartQuarantine, 'countBlamed' | 'listHeld'>;
	readonly upstreamLimits: Pick<UpstreamLimits, 'count'>;
	readonly departures: Pick<UpstreamDepartures, 'count'>;
	/** Returns the number of upstreams that rest. */
	readonly countResting: () => number;
	readonly traffic: Pick<TrafficCounter, 'list'>;
	/** Account of the responses. */
	readonly byteLimits: Pick<ByteLimits, 'countHeld' | 'countMaxHeld' | 'listCuts'>;
	/** Account of the requests. */
	readonly requestLimits: Pick<ByteLimits, 'countHeld' | 'countMaxHeld' | 'countCut'>;
	readonly streamRecorder: Pick<StreamRecorder, 'count' | 'countEvictions'>;
	readonly load: Pick<GatewayLoadControl, 'listShares' | 'listNotReadyReasons'>;
	/** Connections and requests of this gateway's callers. */
	readonly callerServerStatistics: CallerServerStatistics;
	/** Number of requests that ended without a whole answer, by cause. */
	readonly unanswered: ReadonlyMap<string, number>;
	/** Number of answered readiness checks. */
	readonly readinessResponses: number;
};

/**
 * Formats the metrics in the Prometheus text format.
 *
 * @example
 * ```ts
 * response.end(formatGatewayMetrics({
 * 	metrics, events, runningRequests: 3, deploymentVersion: 7, account, lending, admission, quarantine, partQuarantine, upstreamLimits, departures, countResting: () => 0, traffic, byteLimits, requestLimits, streamRecorder, load, callerServerStatistics, unanswered: new Map(), readinessResponses: 2,
 * }));
 * ```
 *
 * @param options The sources of the metrics
 * @returns The metrics, one per line
 */
export function formatGatewayMetrics(options: FormatGatewayMetricsOptions): string {
	const {
		metrics, events, runningRequests, deploymentVersion, account, lending, admission, quarantine, partQuarantine, upstreamLimits, departures, countResting, traffic, byteLimits, requestLimits, streamRecorder, load, callerServerStatistics, unanswered, readinessResponses,
	} = options;
	const lines = [
		`fireflylane_requests_running ${runningRequests}`,
		`fireflylane_deployment_version ${deploymentVersion}`,
		`fireflylane_resident_bytes ${process.memoryUsage.rss()}`,
		`fireflylane_event_loop_late_ms ${admission.getLagMs()}`,
		`fireflylane_requests_bound ${Number.isFinite(admission.getLimit()) ? Math.floor(admission.getLimit()) : '+Inf'}`,
		`fireflylane_connections_open ${callerServerStatistics.open}`,
		`fireflylane_connections_accepted_total ${callerServerStatistics.connections}`,
		`fireflylane_connections_dropped_total ${callerServerStatistics.dropped}`,
		`fireflylane_connections_handed_over_total ${callerServerStatistics.relayed}`,
		`fireflylane_requests_begun_total ${callerServerStatistics.requests}`,
		`fireflylane_requests_suspected ${quarantine.listAll().filter(({crashes}) => crashes > 0).length}`,
		`fireflylane_requests_held ${quarantine.listHeld().length}`,
		`fireflylane_parts_suspected ${partQuarantine.countBlamed()}`,
		`fireflylane_parts_held ${partQuarantine.listHeld().length}`,
		`fireflylane_upstreams_limited ${upstreamLimits.count()}`,
		`fireflylane_upstreams_left ${departures.count()}`,
		`fireflylane_upstreams_resting ${countResting()}`,
		`fireflylane_streams_recorded ${streamRecorder.count()}`,
		`fireflylane_stream_records_evicted_total ${streamRecorder.countEvictions()}`,
		`fireflylane_held_bytes ${byteLimits.countHeld()}`,
		`fireflylane_held_bytes_max ${byteLimits.countMaxHeld()}`,
		`fireflylane_held_request_bytes ${requestLimits.countHeld()}`,
		`fireflylane_held_request_bytes_max ${requestLimits.countMaxHeld()}`,
		`fireflylane_requests_cut_total ${requestLimits.countCut('held')}`,
		`fireflylane_readiness_answers_total ${readinessResponses}`,
		`fireflylane_loans_late_tokens_total ${lending.getLateTokens()}`,
	];
	for (const {reason, count} of admission.listRefusals()) {
		lines.push(`fireflylane_admission_refusals_total{reason="${reason}"} ${count}`);
	}

	for (const {resource, share} of load.listShares()) {
		lines.push(`fireflylane_load_share{resource="${resource}"} ${share}`);
	}

	const currentReasons = load.listNotReadyReasons();
	for (const reason of notReadyReasons) {
		lines.push(`fireflylane_not_ready{reason="${reason}"} ${currentReasons.includes(reason) ? 1 : 0}`);
	}

	for (const {kind, isCrossDomain, bytes} of traffic.list()) {
		lines.push(`fireflylane_traffic_bytes_total{kind="${kind}",crosses_domains="${isCrossDomain}"} ${bytes}`);
	}

	for (const [limit, count] of byteLimits.listCuts()) {
		lines.push(`fireflylane_responses_cut_total{limit="${limit}"} ${count}`);
	}

	for (const [cause, count] of unanswered) {
		lines.push(`fireflylane_unanswered_total{cause="${cause}"} ${count}`);
	}

	for (const [event, count] of events.counts) {
		lines.push(`fireflylane_events_total{event="${event}"} ${count}`);
	}

	for (const customer of account.listCustomers()) {
		const balance = account.get(customer);
		for (const part of ['granted', 'borrowed', 'lent', 'reserved', 'spent'] as const) {
			lines.push(`fireflylane_tokens{customer="${customer}",part="${part}"} ${balance[part]}`);
		}

		lines.push(`fireflylane_tokens{customer="${customer}",part="unconfirmed"} ${lending.countUnconfirmed(customer)}`);
	}

	return `${lines.join('\n')}\n${metrics.formatPrometheusText()}`;
}
