import fc from 'fast-check';
import {expect, test} from 'vitest';
import {readLog} from './log-line.js';
import {buildLosses} from './losses.js';
import {formatLossesPlot} from './losses-plot.js';

function formatLine(second: string, daemon: string, event: string, fields: Record<string, unknown> = {}): string {
	return JSON.stringify({
		at: `2026-01-31T08:00:${second}Z`, daemon, event, text: `text of ${event}`, ...fields,
	});
}

const log = [
	formatLine('00.000', 'front-1', 'FL1001', {role: 'gateway'}),
	formatLine('00.000', 'front-2', 'FL1001', {role: 'gateway'}),
	formatLine('00.500', 'front-1', 'FL1201', {granted: '{"city":5000}'}),
	formatLine('00.600', 'front-2', 'FL1201', {granted: '{"city":3000}'}),
	formatLine('01.000', 'front-1', 'FL1408', {
		result: 'served', customer: 'city', used: 1200,
	}),
	formatLine('01.100', 'front-1', 'FL1408', {
		result: 'failed', customer: 'city', used: 800, reason: 'connect ECONNREFUSED 10.3.0.43:8028',
	}),
	formatLine('01.200', 'front-1', 'FL1408', {
		result: 'failed', customer: 'city', used: 0, reason: 'connect ECONNREFUSED 10.2.0.7:80',
	}),
	formatLine('01.300', 'front-1', 'FL1206', {customer: 'city', to: 'front-2', amount: 500}),
	formatLine('01.300', 'front-2', 'FL1207', {customer: 'city', from: 'front-1', amount: 500}),
	formatLine('02.500', 'front-2', 'FL1209', {customer: 'city', amount: 9000, bought: 10_000}),
	formatLine('02.500', 'front-2', 'FL1401', {type: 'budget-exhausted'}),
	formatLine('03.000', 'front-2', 'FL1003'),
	formatLine('04.000', 'front-1', 'FL1001', {role: 'gateway'}),
	formatLine('04.000', 'front-2', 'FL1001', {role: 'gateway'}),
].join('\n');

test('requests are counted by window and outcome', () => {
	expect(buildLosses(readLog(log).lines).windows).toEqual([
		{from: 0, outcomes: {served: 1, failed: 2}},
		{from: 2, outcomes: {refused: 1}},
	]);
});

test('reasons that differ in an address are one', () => {
	expect(buildLosses(readLog(log).lines).reasons[0]).toEqual({
		outcome: 'failed', reason: 'connect ECONNREFUSED #', requests: 2, tokens: 800,
	});
});

test('a customer\'s tokens are told apart: counted, not served, left with a dead daemon', () => {
	// A customer is refused with tokens left on its bill: front-1 was killed
	// with 2,500 of its grant, front-2 stopped and gave its own back.
	expect(buildLosses(readLog(log).lines).customers).toEqual([{
		customer: 'city', bought: 10_000, counted: 2000, unserved: 800, leftWithDead: 2500, short: 1,
	}]);
});

test('logs that are read in another order tell the same', () => {
	const daemons = ['front-1', 'front-2'].map(daemon => readLog(log).lines.filter(line => line.daemon === daemon));
	expect(buildLosses(daemons.flat())).toEqual(buildLosses(daemons.toReversed().flat()));
});

test('bad lines are left out and counted, and change no account', () => {
	const whole = buildLosses(readLog(log).lines);
	const bad = [
		'{"at":"2026-01-31T08:00:11.000Z","daemon":"fro',
		'other program\'s words',
		'{"at":"never","daemon":"front-1","event":"FL1408","used":5}',
	];
	const forged = [
		formatLine('01.500', 'front-1', 'FL1408', {result: 'failed', customer: 'city', used: -900}),
		formatLine('01.500', 'front-1', 'FL1408', {result: 'failed', customer: 'city', used: 'many'}),
		formatLine('01.500', 'front-1', 'FL1201', {granted: '{"city":-1}'}),
		formatLine('01.500', 'front-1', 'FL1201', {granted: '{"city":'}),
		formatLine('01.500', 'front-1', 'FL1206', {customer: 7, amount: 5}),
		formatLine('01.500', 'front-1', 'FL1209', {customer: 'city'}),
	];
	const {lines, skipped} = readLog([...bad, log, ...forged].join('\n'));
	expect(skipped).toBe(bad.length);
	expect(buildLosses(lines)).toEqual(whole);
});

test('any bytes are read without a fault', () => {
	fc.assert(fc.property(fc.array(fc.oneof(fc.string(), fc.json(), fc.constant(log))), texts => {
		const {lines} = readLog(texts.join('\n'));
		expect(buildLosses(lines).windows.length).toBeGreaterThanOrEqual(0);
	}));
});

test('the picture shows each outcome', async () => {
	const document = await formatLossesPlot(buildLosses(readLog(log).lines));
	expect(document.startsWith('<svg')).toBe(true);
	for (const outcome of ['served', 'failed', 'refused']) {
		expect(document).toContain(outcome);
	}
});

test('an empty log has no losses', () => {
	expect(buildLosses([])).toMatchObject({windows: [], reasons: [], customers: []});
});
