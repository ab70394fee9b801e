import {Buffer} from 'node:buffer';
import {expect, test} from 'vitest';
import {createVirtualTime} from '../../../tools/measure/virtual-clock.js';
import {Ok, type EventLog} from '../../protocol/mod.js';
import {createRequestTable} from '../../state/mod.js';
import type {EngineClient} from '../../transport/mod.js';
import {createModelRunner, type ReceiptReporter} from '../mod.js';

const events: EventLog = {write: () => undefined, counts: new Map()};

/** How the engine handles the next stream: it answers, refuses the connection, or closes the connection. */
type EngineStep = 'answer' | 'refuse' | 'break';

async function play(steps: readonly EngineStep[]) {
	const time = createVirtualTime();
	const left = [...steps];
	let runs = 0;
	const engine: Pick<EngineClient, 'stream' | 'cancel'> = {
		async * stream() {
			const step = left.shift() ?? 'answer';
			if (step === 'refuse') {
				throw Object.assign(new Error('connect ECONNREFUSED'), {code: 'ECONNREFUSED'});
			}

			runs += 1;
			if (step === 'break') {
				throw new Error('other side closed');
			}

			yield {sequence: 0, data: '{"choices": [{"delta": {"content": "a"}}]}'};
			return Ok(undefined);
		},
		cancel: async () => undefined,
	};
	const runner = createModelRunner({
		engine: engine as EngineClient, reporter: {add: () => undefined} as unknown as ReceiptReporter, clock: time, events,
	});
	const request = createRequestTable({maxAnswerBytes: 1000}).open('r1', {
		attempt: 1, incarnation: 'i', payloadDigest: '', shares: [{grant: 'g', amount: 100}],
	});
	const running = runner.run({
		request, payload: Buffer.from('{"max_tokens": 10}'), priority: 0, deadline: 60_000,
	});
	await time.runUntil(60_000);
	await running;
	return {runs, request};
}

// Guards against a request that crashes its engine on each of twenty attempts, as the engine restarts within the delays
// between them.
test('a run whose engine process ended is not started again at that engine', async () => {
	const {runs, request} = await play(['break', 'refuse', 'break', 'refuse', 'break', 'refuse']);
	expect(runs).toBe(1);
	expect(request.failure).toMatchObject({type: 'answer-cut', ran: 'unknown'});
});

test('a run is resumed if only its connection broke', async () => {
	const {runs, request} = await play(['break']);
	expect(runs).toBe(2);
	expect(request.end?.chunks).toBe(1);
});

test('a request waits for an engine that has not started yet', async () => {
	const {runs, request} = await play(['refuse', 'refuse']);
	expect(runs).toBe(1);
	expect(request.end?.chunks).toBe(1);
});
