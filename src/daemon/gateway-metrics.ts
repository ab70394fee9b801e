/**
 * A gateway's metrics as text.
 *
 * @module
 */
import process from 'node:process';
import type {Admission, Metrics, Quarantine} from '../coordination/mod.js';
import type {EventLog} from '../protocol/mod.js';
import type {TokenAccount} from '../state/mod.js';
import type {CallerServerStatistics} from '../transport/mod.js';

/** Options of {@linkcode formatGatewayMetrics}. */
export type FormatGatewayMetricsOptions = {
	readonly metrics: Metrics;
	readonly events: EventLog;
	/** Requests that run. */
	readonly running: number;
	/** Version of the deployment in force. */
	readonly version: number;
	readonly account: TokenAccount;
	readonly admission: Pick<Admission, 'getLimit' | 'getLagMs'>;
	readonly quarantine: Pick<Quarantine, 'listAll' | 'listHeld'>;
	/** What callers have asked of this gateway. */
	readonly work: CallerServerStatistics;
	/** Readiness questions that were answered. */
	readonly readinessAnswers: number;
};

/**
 * Formats the metrics in the Prometheus text format.
 *
 * @example
 * ```ts
 * response.end(formatGatewayMetrics({metrics, events, running: 3, version: 7, account}));
 * ```
 *
 * @param options What is told
 * @returns The text
 */
export function formatGatewayMetrics(options: FormatGatewayMetricsOptions): string {
	const {
		metrics, events, running, version, account, admission, quarantine, work, readinessAnswers,
	} = options;
	const lines = [
		`fireflylane_requests_running ${running}`,
		`fireflylane_deployment_version ${version}`,
		`fireflylane_resident_bytes ${process.memoryUsage.rss()}`,
		`fireflylane_event_loop_late_ms ${admission.getLagMs()}`,
		`fireflylane_requests_bound ${Number.isFinite(admission.getLimit()) ? Math.floor(admission.getLimit()) : '+Inf'}`,
		`fireflylane_connections_open ${work.open}`,
		`fireflylane_connections_accepted_total ${work.connections}`,
		`fireflylane_requests_begun_total ${work.requests}`,
		`fireflylane_requests_suspected ${quarantine.listAll().filter(({crashes}) => crashes > 0).length}`,
		`fireflylane_requests_held ${quarantine.listHeld().length}`,
		`fireflylane_readiness_answers_total ${readinessAnswers}`,
	];
	for (const [event, count] of events.counts) {
		lines.push(`fireflylane_events_total{event="${event}"} ${count}`);
	}

	for (const customer of account.listCustomers()) {
		const balance = account.get(customer);
		for (const part of ['granted', 'borrowed', 'lent', 'reserved', 'spent'] as const) {
			lines.push(`fireflylane_tokens{customer="${customer}",part="${part}"} ${balance[part]}`);
		}
	}

	return `${lines.join('\n')}\n${metrics.formatPrometheusText()}`;
}
