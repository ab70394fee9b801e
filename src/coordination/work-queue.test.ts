import {expect, test} from 'vitest';
import {createSystemClock} from '../transport/mod.js';
import {createWorkQueue} from './mod.js';

const clock = createSystemClock();

test('enter() refuses at once when the queue is full, with when to come back', async () => {
	const queue = createWorkQueue({capacity: 1, limit: 0, clock});
	const first = await queue.enter({priority: 5, remaining: 1000});
	expect(first.ok).toBe(true);
	const second = await queue.enter({priority: 5, remaining: 100_000});
	expect(second.val).toMatchObject({type: 'overloaded', ran: 'no'});
});

test('enter() refuses early a request whose deadline would pass in the queue', async () => {
	const queue = createWorkQueue({capacity: 1, limit: 10, clock});
	await queue.enter({priority: 5, remaining: 1000});
	const late = await queue.enter({priority: 5, remaining: 10});
	expect(late.val).toMatchObject({type: 'overloaded'});
});

test('enter() lets higher priority go first', async () => {
	const queue = createWorkQueue({capacity: 1, limit: 10, clock});
	const turn = await queue.enter({priority: 5, remaining: 60_000});
	const order: string[] = [];
	const enter = async (name: string, priority: number) => {
		const entered = await queue.enter({priority, remaining: 60_000});
		order.push(name);
		(entered.val as () => void)();
	};

	const both = [enter('low', 1), enter('high', 9)];
	(turn.val as () => void)();
	await Promise.all(both);
	expect(order).toEqual(['high', 'low']);
});
