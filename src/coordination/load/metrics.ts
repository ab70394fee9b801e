/**
 * Histograms and counters per customer and class.
 *
 * @module
 */
import {build, type Histogram} from 'hdr-histogram-js';
import type {FailureType} from '../../protocol/mod.js';

/** Labels by which requests are grouped. */
export type MetricLabels = {readonly customer: string; readonly class: string};

/** Measurements of one served request. */
export type ServedSample = {
	/** Milliseconds until the first token, or until the whole answer for plain services. */
	readonly firstMs: number;
	readonly totalMs: number;
	/** Longest pause between two tokens, in milliseconds. */
	readonly gapMs: number;
	readonly tokens: number;
};

/** Summary of one histogram, in milliseconds. */
export type HistogramSummary = {readonly count: number; readonly p50: number; readonly p95: number; readonly p99: number; readonly max: number};

/** Metrics of one customer and class. */
export type MetricRow = MetricLabels & {
	readonly served: number;
	readonly tokens: number;
	readonly refused: Readonly<Record<string, number>>;
	readonly first: HistogramSummary;
	readonly total: HistogramSummary;
	readonly gap: HistogramSummary;
};

/** Metrics of one daemon. */
export type Metrics = ReturnType<typeof createMetrics>;

const maxTrackedMs = 3_600_000;
const unitsPerMs = 10;
/** Each series takes about 30 KB. Requests that would need further series are counted together. */
const maxSeries = 200;
const overflowLabels: MetricLabels = {customer: 'other', class: 'other'};

type Series = {
	readonly labels: MetricLabels;
	readonly first: Histogram;
	readonly total: Histogram;
	readonly gap: Histogram;
	readonly refused: Map<FailureType, number>;
	served: number;
	tokens: number;
};

/** @internal */
function createHistogram(): Histogram {
	return build({highestTrackableValue: maxTrackedMs * unitsPerMs, numberOfSignificantValueDigits: 2, bitBucketSize: 32});
}

/** @internal */
function recordMs(histogram: Histogram, valueMs: number): void {
	histogram.recordValue(Math.min(maxTrackedMs * unitsPerMs, Math.max(0, Math.round(valueMs * unitsPerMs))));
}

/** @internal */
function summarizeHistogram(histogram: Histogram): HistogramSummary {
	const read = (percentile: number) => histogram.getValueAtPercentile(percentile) / unitsPerMs;
	return {
		count: histogram.totalCount, p50: read(50), p95: read(95), p99: read(99), max: histogram.maxValue / unitsPerMs,
	};
}

/**
 * Creates the metrics of a daemon.
 *
 * @example
 * ```ts
 * metrics.recordServed({customer: 'city-1', class: 'bed-query'}, {firstMs: 80, totalMs: 900, gapMs: 30, tokens: 210});
 * ```
 *
 * @returns The metrics
 */
export function createMetrics() {
	const series = new Map<string, Series>();

	function formatKey(labels: MetricLabels): string {
		return `${labels.customer}\0${labels.class}`;
	}

	function ensureSeries(requested: MetricLabels): Series {
		const hasOwnSeries = series.has(formatKey(requested)) || series.size < maxSeries;
		const labels = hasOwnSeries ? requested : overflowLabels;
		const key = formatKey(labels);
		const item = series.get(key) ?? {
			labels, first: createHistogram(), total: createHistogram(), gap: createHistogram(), refused: new Map(), served: 0, tokens: 0,
		};
		series.set(key, item);
		return item;
	}

	function listRows(): MetricRow[] {
		return [...series.values()].map(item => ({
			...item.labels,
			served: item.served,
			tokens: item.tokens,
			refused: Object.fromEntries(item.refused),
			first: summarizeHistogram(item.first),
			total: summarizeHistogram(item.total),
			gap: summarizeHistogram(item.gap),
		}));
	}

	return {
		recordServed(labels: MetricLabels, sample: ServedSample): void {
			const item = ensureSeries(labels);
			item.served += 1;
			item.tokens += sample.tokens;
			recordMs(item.first, sample.firstMs);
			recordMs(item.total, sample.totalMs);
			recordMs(item.gap, sample.gapMs);
		},

		recordRefused(labels: MetricLabels, type: FailureType): void {
			const {refused} = ensureSeries(labels);
			refused.set(type, (refused.get(type) ?? 0) + 1);
		},

		listRows,

		/** Formats the metrics in the text format for scrapers. */
		formatPrometheusText(): string {
			const lines: string[] = [];
			for (const row of listRows()) {
				const labels = `customer="${row.customer}",class="${row.class}"`;
				lines.push(`fireflylane_served_total{${labels}} ${row.served}`, `fireflylane_tokens_total{${labels}} ${row.tokens}`);
				for (const [type, count] of Object.entries(row.refused)) {
					lines.push(`fireflylane_refused_total{${labels},type="${type}"} ${count}`);
				}

				for (const name of ['first', 'total', 'gap'] as const) {
					const summary = row[name];
					lines.push(
						`fireflylane_${name}_ms{${labels},quantile="0.5"} ${summary.p50}`,
						`fireflylane_${name}_ms{${labels},quantile="0.95"} ${summary.p95}`,
						`fireflylane_${name}_ms{${labels},quantile="0.99"} ${summary.p99}`,
						`fireflylane_${name}_ms_count{${labels}} ${summary.count}`,
					);
				}
			}

			return `${lines.join('\n')}\n`;
		},
	};
}
