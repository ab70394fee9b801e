/**
 * Renders a chart of requests by outcome.
 *
 * @module
 */
import type {LossReport} from './loss-report.js';

const sizePx = {width: 960, height: 420} as const;

/**
 * Renders the outcomes of requests over time as a stacked bar chart.
 *
 * @example
 * ```ts
 * writeFileSync('losses.svg', await renderLossPlot(report));
 * ```
 *
 * @param report Report built from the logs
 * @returns An SVG document
 */
export async function renderLossPlot({windows, since}: LossReport): Promise<string> {
	// The library is large, so it is loaded only if a chart is requested.
	const {init} = await import('echarts');
	const outcomes = [...new Set(windows.flatMap(({outcomes}) => Object.keys(outcomes)))].sort();
	const chart = init(null, undefined, {
		...sizePx, renderer: 'svg', ssr: true,
	});
	chart.setOption({
		animation: false,
		title: {text: 'Requests by outcome', subtext: `seconds since ${since}`},
		legend: {top: 'bottom'},
		xAxis: {type: 'category', data: windows.map(({from}) => from)},
		yAxis: {type: 'value', name: 'requests'},
		series: outcomes.map(name => ({
			name, type: 'bar', stack: 'requests', data: windows.map(window => window.outcomes[name] ?? 0),
		})),
	});
	const svg = chart.renderToSVGString();
	chart.dispose();
	return svg;
}
