import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {pathToFileURL} from 'node:url';
import {expect, test} from 'vitest';
import {createLineLog, type LineSink} from './mod.js';

test('lines are dropped while the reader is blocked, and their number is logged once it continues', () => {
	const lines: string[] = [];
	const sink = {
		writableLength: 0,
		write(text: string) {
			lines.push(text);
			return true;
		},
	} satisfies LineSink;
	const log = createLineLog({daemon: 'e1', sink});
	log.write('daemonStopped');
	sink.writableLength = 300_000;
	log.write('daemonStopped');
	log.write('daemonStopped');
	expect(lines.length).toBe(1);
	sink.writableLength = 0;
	log.write('daemonStopped');
	expect(JSON.parse(lines[1]!)).toMatchObject({event: 'FL1801', dropped: 2});
	expect(lines.length).toBe(3);
	expect(log.counts.get('daemonStopped')).toBe(4);
});

test('a process does not block when its output is not read', {timeout: 20_000}, async () => {
	// Guards against a log collector that stops reading: the pipe fills up, and
	// if writes to it block the gateway, all callers wait.
	const module = pathToFileURL('dist/src/protocol/line-log.js').href;
	const script = `
		const {createLineLog} = await import('${module}');
		const log = createLineLog({daemon: 'e1', sink: process.stdout});
		for (let line = 0; line < 20_000; line += 1) {
			log.write('requestEnded', {request: 'r' + line, pad: 'x'.repeat(100)});
		}
		process.stderr.write('done');
		process.exit();
	`;
	const child = spawn(process.execPath, ['--input-type=module', '--eval', script], {stdio: ['ignore', 'pipe', 'pipe']});
	const [output] = await once(child.stderr, 'data') as [unknown];
	expect(String(output)).toBe('done');
	child.kill('SIGKILL');
});
