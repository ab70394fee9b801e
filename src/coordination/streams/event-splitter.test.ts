import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {createEventSplitter} from '../mod.js';

const stream = Buffer.from('id: 1\ndata: a\n\n: comment\nid:2\r\ndata: é\r\n\r\ndata: no id\n\nid: 4\ndata: cut');

test('push returns complete events with their ids, however the stream is split into chunks', () => {
	fc.assert(fc.property(fc.array(fc.integer({min: 0, max: stream.length}), {maxLength: 20}), cutPoints => {
		const splitter = createEventSplitter();
		const bounds = [0, ...cutPoints.toSorted((left, right) => left - right), stream.length];
		const events = bounds.slice(1).flatMap((end, index) => splitter.push(stream.subarray(bounds[index], end)));
		expect(events.map(event => event.id)).toEqual(['1', '2', undefined]);
		expect(Buffer.concat([...events.map(event => event.bytes), splitter.getRemainder()]).equals(stream)).toBe(true);
	}), {numRuns: 200, seed: 11});
});

test('an event that arrives in many chunks is searched once', () => {
	// Guards against work that is quadratic in an unfinished event, which an engine that never ends an event uses to stop a gateway.
	const chunk = Buffer.from('data: line\n'.repeat(8));
	const measureMs = (chunks: number) => {
		const splitter = createEventSplitter();
		const startedAt = performance.now();
		for (let index = 0; index < chunks; index += 1) {
			splitter.push(chunk);
		}

		expect(splitter.getRemainder().length).toBe(chunks * chunk.length);
		return performance.now() - startedAt;
	};

	measureMs(1000);
	// 1.4 MB; 16,000 copies and searches of what has arrived take tens of seconds.
	expect(measureMs(16_000)).toBeLessThan(1000);
});

test('events keep their bytes when more are pushed, and the unfinished event keeps none of theirs', () => {
	const splitter = createEventSplitter();
	splitter.push(Buffer.from('data: a'));
	const [first] = splitter.push(Buffer.from('\n\ndata: b'));
	const [second] = splitter.push(Buffer.from('\n\n'));
	splitter.push(Buffer.from('data: ccccccccccc'));
	expect([first, second].map(event => Buffer.from(event!.bytes).toString())).toEqual(['data: a\n\n', 'data: b\n\n']);
	splitter.push(Buffer.concat([Buffer.from('\n\n'), Buffer.from('data: d\n\n'.repeat(5000)), Buffer.from('da')]));
	expect(splitter.getHeldBytes()).toBeLessThan(100);
});
