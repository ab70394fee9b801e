import {expect, test} from 'vitest';
import {buildRequestTimeline, formatRequestTimeline, parseLog} from './request-timeline.js';

function formatLine(second: string, daemon: string, event: string, fields: Record<string, unknown> = {}): string {
	return JSON.stringify({
		at: `2026-01-31T08:00:${second}Z`, daemon, event, text: `text of ${event}`, ...fields,
	});
}

const logs = [
	formatLine('01.000', 'front-1', 'FL1506', {version: 3}),
	formatLine('02.000', 'front-1', 'FL1506', {version: 7}),
	formatLine('02.100', 'front-2', 'FL1506', {version: 7}),
	formatLine('03.000', 'front-1', 'FL1109'),
	formatLine('04.000', 'front-1', 'FL1110'),
	formatLine('04.000', 'front-1', 'FL1701', {upstream: 'i-7', isDraining: false}),
	formatLine('04.000', 'front-1', 'FL1701', {upstream: 'i-8', isDraining: false}),
	formatLine('10.300', 'front-1', 'FL1702', {upstream: 'i-7'}),
	`  12.5 front-1 ${formatLine('10.400', 'front-1', 'FL1402', {request: 'r1', upstream: 'i-7', outcome: 'broken'})}`,
	formatLine('10.900', 'front-1', 'FL1408', {
		request: 'r1', upstream: 'i-9', result: 'cut', ms: 900,
	}),
	formatLine('10.950', 'front-1', 'FL1408', {request: 'r2', result: 'served', ms: 20}),
	'{"at":"2026-01-31T08:00:11.000Z","daemon":"fro',
].join('\n');

test('a timeline has the lines of the request in order', () => {
	const timeline = buildRequestTimeline('r1', parseLog(logs));
	expect(timeline.lines.map(({event}) => event)).toEqual(['FL1402', 'FL1408']);
});

test('a timeline has the newest line of each kind from before the request', () => {
	const {known} = buildRequestTimeline('r1', parseLog(logs));
	expect(known.map(({event, fields}) => [event, fields])).toEqual([['FL1506', {version: 7}], ['FL1110', {}], ['FL1701', {upstream: 'i-7', isDraining: false}]]);
});

test('a timeline has the changes while the request ran', () => {
	const {meanwhile} = buildRequestTimeline('r1', parseLog(logs));
	expect(meanwhile.map(({event}) => event)).toEqual(['FL1702']);
});

test('times are relative to the arrival of the request', () => {
	expect(formatRequestTimeline(buildRequestTimeline('r1', parseLog(logs)))).toContain('     +400 ms  front-1  FL1402 text of FL1402  upstream=i-7 outcome=broken');
});

test('a request that no line names is reported as such', () => {
	expect(formatRequestTimeline(buildRequestTimeline('r3', parseLog(logs)))).toContain('No log line names the request "r3"');
});

test('lines from before the last start of a daemon are left out', () => {
	const timeline = buildRequestTimeline('r1', parseLog([formatLine('00.000', 'front-1', 'FL1306', {peer: 'front-2'}), formatLine('00.500', 'front-1', 'FL1001'), logs].join('\n')));
	expect(timeline.known.map(({event}) => event)).toEqual(['FL1001', 'FL1506', 'FL1110', 'FL1701']);
});

test('a timeline has earlier crashes under the digest of the request and no others', () => {
	const crashLogs = [
		formatLine('01.000', 'front-1', 'FL1412', {digest: 'd1', crashes: 3, cause: 'peer'}),
		formatLine('01.500', 'front-1', 'FL1412', {digest: 'd2', crashes: 1, request: 'r0'}),
		formatLine('02.000', 'front-1', 'FL1401', {request: 'r1', type: 'quarantined', digest: 'd1'}),
	].join('\n');
	const {known, lines} = buildRequestTimeline('r1', parseLog(crashLogs));
	expect(known.map(({fields}) => fields)).toEqual([{digest: 'd1', crashes: 3, cause: 'peer'}]);
	expect(lines.map(({event}) => event)).toEqual(['FL1401']);
});
