import {expect, test} from 'vitest';
import {checkSettings, parseSettings} from './mod.js';

const listen = 'listen: {callers: {port: 0}, operators: {port: 0}, peers: {port: 0}}';
const secrets = 'fleetKey: {environment: A}\noperatorKey: {file: b}';

test('parseSettings() fills in documented defaults', () => {
	const settings = parseSettings(`id: entry-1\nrole: entry\nfailureDomain: d1\n${secrets}\nlog: {url: 'http://127.0.0.1:1'}\n${listen}`).unwrap();
	expect(settings.log.timeout).toBe(3000);
	expect(settings.heartbeat).toEqual({every: 500, suspectAfter: 3000});
});

test('parseSettings() reports every issue with its path and line', () => {
	const issues = parseSettings(`id: entry-1\nrole: entry\n${secrets}\nlog:\n  url: nowhere\n  timeout: 3\n  wat: 1\n${listen}`);
	expect(issues.err).toBe(true);
	expect((issues.val as Array<{line: number; path: string}>).map(({line, path}) => `${line} ${path}`)).toEqual([
		'1 failureDomain', '6 log.url', '7 log.timeout', '8 log.wat',
	]);
});

test('parseSettings() rejects a host name', () => {
	const issues = parseSettings(`id: entry-1\nrole: entry\nfailureDomain: d\n${secrets}\nlog: {url: 'http://127.0.0.1:1'}\n${listen.replace('{port: 0}', '{host: localhost, port: 0}')}`);
	expect(issues.err).toBe(true);
});

test('parseSettings() reports an issue in the shared part of a deployment file once', () => {
	const text = 'shared:\n  failureDomain: d\n  heartbeat: {every: 5}\ndaemons:\n  - {id: a, role: entry}\n  - {id: b, role: entry}\n';
	const issues = parseSettings(text, {daemon: 'a'}).val as Array<{line: number; path: string}>;
	expect(issues.filter(issue => issue.path === 'shared.heartbeat.every')).toEqual([expect.objectContaining({line: 3})]);
});

test('parseSettings() fails if a deployment file has no daemon to select', () => {
	expect(parseSettings('daemons: []').err).toBe(true);
});

test('checkSettings() accepts the two deployments', () => {
	for (const name of ['abrigo', 'valpadana']) {
		expect(checkSettings(`settings/${name}.yaml`).ok).toBe(true);
	}
});
