import {Buffer} from 'node:buffer';
import {expect, test} from 'vitest';
import {createRequestTable} from './mod.js';

const open = {
	attempt: 1, incarnation: 'i', payloadDigest: 'd', shares: [],
};

test('close() evicts the oldest answers over the limit and keeps their bills', () => {
	const table = createRequestTable({maxAnswerBytes: 10});
	for (const id of ['r1', 'r2']) {
		const request = table.open(id, open);
		request.push(Buffer.from('12345678'));
		request.finish({billed: [{grant: 'g', amount: 3}]});
		table.close(request);
	}

	expect(table.get('r1')).toEqual({kind: 'gone', attempt: 1, billed: [{grant: 'g', amount: 3}]});
	expect(table.get('r2').kind).toBe('tracked');
	expect(table.countFinishedBytes()).toBe(8);
});

test('fence() fences one attempt and not the next one', () => {
	const table = createRequestTable({maxAnswerBytes: 10});
	table.fence('r1', 1);
	expect([table.isFenced('r1', 1), table.isFenced('r1', 2)]).toEqual([true, false]);
});
