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
