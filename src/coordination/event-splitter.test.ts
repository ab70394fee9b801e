import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {createEventSplitter} from './mod.js';

const stream = Buffer.from('id: 1\ndata: a\n\n: comment\nid:2\r\ndata: é\r\n\r\ndata: no id\n\nid: 4\ndata: cut');

test('push hands on whole events with their ids, however the stream is cut', () => {
	fc.assert(fc.property(fc.array(fc.integer({min: 0, max: stream.length}), {maxLength: 20}), cuts => {
		const splitter = createEventSplitter();
		const points = [0, ...cuts.toSorted((left, right) => left - right), stream.length];
		const events = points.slice(1).flatMap((end, index) => splitter.push(stream.subarray(points[index], end)));
		expect(events.map(event => event.id)).toEqual(['1', '2', undefined]);
		expect(Buffer.concat([...events.map(event => event.bytes), splitter.rest()]).equals(stream)).toBe(true);
	}), {numRuns: 200, seed: 11});
});
