import {expect, test} from 'vitest';
import {createSystemClock} from '../../transport/mod.js';
import {createWorkQueue} from '../mod.js';

const clock = createSystemClock();

test('enter() refuses a request at once if the queue is full', async () => {
	const queue = createWorkQueue({maxRunning: 1, maxWaiting: 0, clock});
	const first = await queue.enter({priority: 5, remainingMs: 1000});
	expect(first.ok).toBe(true);
	const second = await queue.enter({priority: 5, remainingMs: 100_000});
	expect(second.val).toMatchObject({type: 'overloaded', ran: 'no'});
});

test('enter() refuses a request at once if its deadline would pass in the queue', async () => {
	const queue = createWorkQueue({maxRunning: 1, maxWaiting: 10, clock});
	await queue.enter({priority: 5, remainingMs: 1000});
	const late = await queue.enter({priority: 5, remainingMs: 10});
	expect(late.val).toMatchObject({type: 'overloaded'});
});

test('enter() runs requests of higher priority first', async () => {
	const queue = createWorkQueue({maxRunning: 1, maxWaiting: 10, clock});
	const turn = await queue.enter({priority: 5, remainingMs: 60_000});
	const order: string[] = [];
	const enter = async (name: string, priority: number) => {
		const entered = await queue.enter({priority, remainingMs: 60_000});
		order.push(name);
		(entered.val as () => void)();
	};

	const both = [enter('low', 1), enter('high', 9)];
	(turn.val as () => void)();
	await Promise.all(both);
	expect(order).toEqual(['high', 'low']);
});
