import {expect, test} from 'vitest';
import {createStreamRecords, type StreamRecord} from './mod.js';

function buildRecord(fields: Partial<StreamRecord> = {}): StreamRecord {
	return {
		origin: {service: 's', softwareVersion: 'v1'}, source: 'g', recordedAt: 0, expiresAt: 100, ...fields,
	};
}

function createRecords(maxRecords = 10) {
	const evicted: number[] = [];
	const records = createStreamRecords({
		maxRecords, onEvicted(remainingMs) {
			evicted.push(remainingMs);
		},
	});
	return {records, evicted};
}

test('a record is known until it expires, and a repeated one extends it', () => {
	const {records} = createRecords();
	records.put('a', buildRecord());
	expect([99, 100].map(now => records.get('a', now)?.origin.softwareVersion)).toEqual(['v1', undefined]);
	records.put('a', buildRecord({recordedAt: 50, expiresAt: 150}));
	records.put('a', buildRecord({recordedAt: 60, expiresAt: 80}));
	expect(records.get('a', 149)?.origin.softwareVersion).toBe('v1');
	records.prune(150);
	expect(records.count()).toBe(0);
});

test('accounts that contradict each other leave the version unknown', () => {
	const {records} = createRecords();
	records.put('a', buildRecord());
	records.put('a', buildRecord({origin: {service: 's', softwareVersion: 'v2'}}));
	expect(records.get('a', 1)?.origin).toEqual({service: 's', softwareVersion: undefined});
});

test('an account whose version is certain goes before one that names a start', () => {
	// Guards against a check that is made again for each resume, and against its loss when an earlier account arrives late.
	const {records} = createRecords();
	const start = {id: 'u1', startedAt: 1000};
	records.put('a', buildRecord({origin: {service: 's', softwareVersion: 'v1', start}}));
	expect(records.get('a', 1)?.origin.start).toEqual(start);
	records.put('a', buildRecord());
	records.put('a', buildRecord({origin: {service: 's', softwareVersion: 'v1', start}}));
	expect(records.get('a', 1)?.origin).toEqual({service: 's', softwareVersion: 'v1'});
});

test('the oldest record is evicted when there is no room, and reported only if it has not expired', () => {
	const {records, evicted} = createRecords(2);
	records.put('a', buildRecord());
	records.put('b', buildRecord());
	records.put('a', buildRecord({recordedAt: 10}));
	records.put('c', buildRecord({recordedAt: 20, expiresAt: 500}));
	expect(['a', 'b', 'c'].map(stream => records.get(stream, 30) !== undefined)).toEqual([true, false, true]);
	expect(evicted).toEqual([80]);
	records.put('d', buildRecord({recordedAt: 200, expiresAt: 300}));
	expect(evicted).toEqual([80]);
});
