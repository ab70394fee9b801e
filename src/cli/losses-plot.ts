/**
 * A picture of where requests were lost.
 *
 * @module
 */
import type {Losses} from './losses.js';

const size = {width: 960, height: 420} as const;

/**
 * Draws the outcomes of requests over time, stacked, as an SVG document.
 *
 * @example
 * ```ts
 * writeFileSync('losses.svg', await formatLossesPlot(losses));
 * ```
 *
 * @param losses What the logs say
 * @returns The document
 */
export async function formatLossesPlot({windows, since}: Losses): Promise<string> {
	// The library is large and only this picture needs it.
	const {init} = await import('echarts');
	const outcomes = [...new Set(windows.flatMap(({outcomes}) => Object.keys(outcomes)))].sort();
	const chart = init(null, undefined, {
		...size, renderer: 'svg', ssr: true,
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
	const document = chart.renderToSVGString();
	chart.dispose();
	return document;
}
