/**
 * Histograms and counters for each customer and class.
 *
 * @module
 */
import {build, type Histogram} from 'hdr-histogram-js';
import type {FailureType} from '../protocol/mod.js';

/** Whose request it was. */
export type MetricLabels = {readonly customer: string; readonly class: string};

/** One served request. */
export type ServedSample = {
	/** Milliseconds to the first token; the whole answer for plain services. */
	readonly firstMs: number;
	readonly totalMs: number;
	/** Longest pause between two tokens, in milliseconds. */
	readonly gapMs: number;
	readonly tokens: number;
};

/** Figures of one histogram, in milliseconds. */
export type HistogramFigures = {readonly count: number; readonly p50: number; readonly p95: number; readonly p99: number; readonly max: number};

/** Figures of one customer and class. */
export type MetricRow = MetricLabels & {
	readonly served: number;
	readonly tokens: number;
	readonly refused: Readonly<Record<string, number>>;
	readonly first: HistogramFigures;
	readonly total: HistogramFigures;
	readonly gap: HistogramFigures;
};

/** Metrics of one daemon. */
export type Metrics = ReturnType<typeof createMetrics>;

const highestMs = 3_600_000;
const scale = 10;
/** Series kept; each takes about 30 KB. Requests beyond them are told together. */
const seriesLimit = 200;
const otherLabels: MetricLabels = {customer: 'other', class: 'other'};

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
	return build({highestTrackableValue: highestMs * scale, numberOfSignificantValueDigits: 2, bitBucketSize: 32});
}

/** @internal */
function record(histogram: Histogram, milliseconds: number): void {
	histogram.recordValue(Math.min(highestMs * scale, Math.max(0, Math.round(milliseconds * scale))));
}

/** @internal */
function readFigures(histogram: Histogram): HistogramFigures {
	const read = (percentile: number) => histogram.getValueAtPercentile(percentile) / scale;
	return {
		count: histogram.totalCount, p50: read(50), p95: read(95), p99: read(99), max: histogram.maxValue / scale,
	};
}

/**
 * Creates the metrics of a daemon.
 *
 * @example
 * ```ts
 * metrics.noteServed({customer: 'city-1', class: 'bed-query'}, {firstMs: 80, totalMs: 900, gapMs: 30, tokens: 210});
 * ```
 *
 * @returns The metrics
 */
export function createMetrics() {
	const series = new Map<string, Series>();

	function formatKey(labels: MetricLabels): string {
		return `${labels.customer}\0${labels.class}`;
	}

	function ensureSeries(wanted: MetricLabels): Series {
		const isKept = series.has(formatKey(wanted)) || series.size < seriesLimit;
		const labels = isKept ? wanted : otherLabels;
		const key = formatKey(labels);
		const known = series.get(key) ?? {
			labels, first: createHistogram(), total: createHistogram(), gap: createHistogram(), refused: new Map(), served: 0, tokens: 0,
		};
		series.set(key, known);
		return known;
	}

	function listRows(): MetricRow[] {
		return [...series.values()].map(item => ({
			...item.labels,
			served: item.served,
			tokens: item.tokens,
			refused: Object.fromEntries(item.refused),
			first: readFigures(item.first),
			total: readFigures(item.total),
			gap: readFigures(item.gap),
		}));
	}

	return {
		noteServed(labels: MetricLabels, sample: ServedSample): void {
			const item = ensureSeries(labels);
			item.served += 1;
			item.tokens += sample.tokens;
			record(item.first, sample.firstMs);
			record(item.total, sample.totalMs);
			record(item.gap, sample.gapMs);
		},

		noteRefused(labels: MetricLabels, type: FailureType): void {
			const {refused} = ensureSeries(labels);
			refused.set(type, (refused.get(type) ?? 0) + 1);
		},

		listRows,

		/** The text that a scraper of metrics reads. */
		formatText(): string {
			const lines: string[] = [];
			for (const row of listRows()) {
				const labels = `customer="${row.customer}",class="${row.class}"`;
				lines.push(`fireflylane_served_total{${labels}} ${row.served}`, `fireflylane_tokens_total{${labels}} ${row.tokens}`);
				for (const [type, count] of Object.entries(row.refused)) {
					lines.push(`fireflylane_refused_total{${labels},type="${type}"} ${count}`);
				}

				for (const name of ['first', 'total', 'gap'] as const) {
					const figures = row[name];
					lines.push(
						`fireflylane_${name}_ms{${labels},quantile="0.5"} ${figures.p50}`,
						`fireflylane_${name}_ms{${labels},quantile="0.95"} ${figures.p95}`,
						`fireflylane_${name}_ms{${labels},quantile="0.99"} ${figures.p99}`,
						`fireflylane_${name}_ms_count{${labels}} ${figures.count}`,
					);
				}
			}

			return `${lines.join('\n')}\n`;
		},
	};
}
