import {spawnSync} from 'node:child_process';
import {writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import OpenAI from 'openai';
import {
	afterAll, beforeAll, expect, test,
} from 'vitest';
import {
	requestChat, bookSlot, fetchDocument, fleetKeys, startFleet, type TestFleet,
} from '../../tools/harness/mod.js';
import type {Problem} from '../protocol/mod.js';

const key = 'city-key';
let fleet: TestFleet;
let callers: string;
let operators: string;

beforeAll(async () => {
	fleet = await startFleet({entries: 2, engines: 1, bookings: 1});
	await fleet.configure([
		{name: 'city', key, tokens: 100_000},
		{name: 'village', key: 'village-key', tokens: 200},
		{name: 'stranger', key: 'stranger-key', tokens: 10_000},
	]);
	callers = fleet.entries[0]!.process.ready.callers;
	operators = fleet.entries[0]!.process.ready.operators;
});

afterAll(async () => {
	await fleet.stop();
});

async function post(body: string, headers: Record<string, string> = {}): Promise<{status: number; problem: Problem}> {
	const response = await fetch(`${callers}/v1/chat/completions`, {method: 'POST', body, headers: {authorization: `Bearer ${key}`, ...headers}});
	expect(response.headers.get('content-type')).toBe('application/problem+json');
	return {status: response.status, problem: await response.json() as Problem};
}

function runCommand(args: readonly string[]) {
	return spawnSync(process.execPath, ['dist/src/cli.js', ...args], {
		encoding: 'utf8',
		// eslint-disable-next-line @typescript-eslint/naming-convention
		env: {...process.env, FIREFLYLANE_URL: operators, FIREFLYLANE_OPERATOR_KEY: fleetKeys.operator},
	});
}

/* eslint-disable @typescript-eslint/naming-convention */
test('the openai client gets a complete answer with usage', async () => {
	const client = new OpenAI({apiKey: key, baseURL: `${callers}/v1`, maxRetries: 0});
	const completion = await client.chat.completions.create({model: 'assistant', messages: [{role: 'user', content: 'answer 12'}], max_completion_tokens: 40});
	expect(completion.choices[0]?.message.content?.trim().split(' ')).toHaveLength(12);
	expect(completion.choices[0]?.finish_reason).toBe('stop');
	expect(completion.usage).toMatchObject({completion_tokens: 12});
	expect(await client.models.list()).toMatchObject({data: [{id: 'assistant'}]});
});

test('the openai client streams with usage at the end', async () => {
	const client = new OpenAI({apiKey: key, baseURL: `${callers}/v1`, maxRetries: 0});
	const stream = await client.chat.completions.create({
		model: 'assistant', messages: [{role: 'user', content: 'answer 9'}], stream: true, stream_options: {include_usage: true},
	});
	let tokens = 0;
	let usage = 0;
	for await (const chunk of stream) {
		tokens += chunk.choices[0]?.delta.content ? 1 : 0;
		usage = chunk.usage?.completion_tokens ?? usage;
	}

	expect([tokens, usage]).toEqual([9, 9]);
});

test('invalid input gets a typed problem, is not run and not billed', async () => {
	const message = {role: 'user', content: 'answer 5'};
	const cases: Array<[string, Record<string, string>, string]> = [
		['{"model": ', {}, 'malformed-json'],
		[JSON.stringify({model: 'assistant', messages: [message], max_tokens: -1}), {}, 'invalid-request'],
		[JSON.stringify({model: 'assistant', messages: [message], max_tokens: 1e12}), {}, 'invalid-request'],
		[JSON.stringify({model: 'assistant', messages: []}), {}, 'invalid-request'],
		[JSON.stringify({model: 'oracle', messages: [message]}), {}, 'unknown-model'],
		[JSON.stringify({model: 'assistant', messages: [message]}), {authorization: 'Bearer wrong'}, 'unknown-key'],
		[JSON.stringify({model: 'assistant', messages: [message]}), {'x-deadline': 'soon'}, 'invalid-request'],
		[JSON.stringify({model: 'assistant', messages: [message]}), {'idempotency-key': 'k'.repeat(300)}, 'invalid-request'],
		['x'.repeat(2_000_000), {}, 'body-too-large'],
	];
	const before = await fetchDocument<{runs: number}>(`${fleet.upstreams[0]!.standIn.ready.url}/counts`);
	for (const [body, headers, type] of cases) {
		const {status, problem} = await post(body, headers);
		expect(problem).toMatchObject({type: `urn:fireflylane:${type}`, ran: 'no'});
		expect(status).toBeGreaterThanOrEqual(400);
		expect(status).toBeLessThan(500);
	}

	const after = await fetchDocument<{runs: number}>(`${fleet.upstreams[0]!.standIn.ready.url}/counts`);
	expect(after.runs).toBe(before.runs);
	const next = await requestChat(callers, {key, content: 'answer 3'});
	expect(next.isWhole).toBe(true);
});
/* eslint-enable @typescript-eslint/naming-convention */

test('a request on a spent budget is refused with the time after which to retry', async () => {
	const answers = [];
	for (let index = 0; index < 12; index++) {
		answers.push(await requestChat(callers, {key: 'village-key', content: 'answer 20'}));
	}

	const refused = answers.filter(answer => !answer.isWhole);
	expect(refused.length).toBeGreaterThan(0);
	expect(refused[0]).toMatchObject({status: 429, problem: {type: 'urn:fireflylane:budget-spent', ran: 'no'}});
	expect(Number(refused[0]!.retryAfter)).toBeGreaterThan(0);
});

test('a booking repeated through the other entry runs once and gets the same answer', async () => {
	const options = {key, booking: 'room-1', idempotencyKey: 'room-1'};
	const first = await bookSlot(callers, options);
	const second = await bookSlot(fleet.entries[1]!.process.ready.callers, options);
	expect(second.text).toBe(first.text);
	const {executions} = await fetchDocument<{executions: Array<{booking: string}>}>(`${fleet.upstreams.find(upstream => upstream.id.startsWith('up-service'))!.standIn.ready.url}/executions`);
	expect(executions.filter(execution => execution.booking === 'room-1')).toHaveLength(1);
});

test('a guessed idempotency key does not reach another customer\'s booking', async () => {
	const mine = await bookSlot(callers, {key, booking: 'secret', idempotencyKey: 'guess'});
	const theirs = await bookSlot(callers, {key: 'stranger-key', booking: 'other', idempotencyKey: 'guess'});
	expect(theirs.isWhole).toBe(true);
	expect(theirs.text).not.toBe(mine.text);
});

test('an idempotency key used with another body is refused', async () => {
	await bookSlot(callers, {key, booking: 'one', idempotencyKey: 'same'});
	const answer = await bookSlot(callers, {key, booking: 'two', idempotencyKey: 'same'});
	expect(answer).toMatchObject({status: 422, problem: {type: 'urn:fireflylane:key-reused'}});
});

// Guards against sending another request's answer: the key's first request still waits for its permit when the second
// one arrives.
test('an idempotency key used with another body is refused while its first request waits', async () => {
	const control = `${fleet.log.ready.url}/control`;
	await fetchDocument(control, {delay: 800});
	const first = bookSlot(callers, {key, booking: 'three', idempotencyKey: 'waiting'});
	await wait(200);
	const second = await bookSlot(callers, {key, booking: 'four', idempotencyKey: 'waiting'});
	await fetchDocument(control, {delay: 0});
	expect(second).toMatchObject({status: 422, problem: {type: 'urn:fireflylane:key-reused'}});
	expect(await first).toMatchObject({status: 200});
});

test('the operator interface refuses a wrong key', async () => {
	const answer = await fetch(`${operators}/v1/status`, {headers: {authorization: 'Bearer wrong'}});
	expect(answer.status).toBe(401);
});

test('the peer interface refuses a caller without the fleet key', async () => {
	const result = spawnSync('curl', ['-s', '-o', '/dev/null', '-w', '%{http_code}', '--http2-prior-knowledge', '-H', 'content-type: application/json', '-d', '{}', `http://${fleet.entries[0]!.process.ready.peers}/fireflylane.Peer/Heartbeat`], {encoding: 'utf8'});
	expect(result.stdout).toBe('401');
});

test('the command line shows the status and budgets, and plans and confirms an intent', () => {
	expect(JSON.parse(runCommand(['status', '--json']).stdout)).toMatchObject({daemon: 'entry-1', isReady: true});
	const file = join(tmpdir(), `intent-${process.pid}.yaml`);
	writeFileSync(file, 'changes:\n  - {change: top-up, budget: city-budget, tokens: 500}\n');
	const plan = JSON.parse(runCommand(['intent', 'plan', '-f', file, '--json']).stdout) as {plan: string; state: string};
	expect(plan.state).toBe('open');
	expect(JSON.parse(runCommand(['budget', 'show', 'city-budget', '--json']).stdout)).toMatchObject({bought: 100_000});
	expect(JSON.parse(runCommand(['intent', 'confirm', plan.plan, '--json']).stdout)).toMatchObject({state: 'accepted'});
	expect(runCommand(['intent', 'confirm', plan.plan]).status).toBe(0);
	expect(JSON.parse(runCommand(['budget', 'show', 'city-budget', '--json']).stdout)).toMatchObject({bought: 100_500});
	expect(runCommand(['budget', 'show', 'nothing']).status).toBe(3);
});

test('fireflylaned refuses invalid settings with exit code 2', () => {
	const file = join(tmpdir(), `settings-${process.pid}.yaml`);
	writeFileSync(file, 'id: entry-1\nrole: entry\nwat: 1\n');
	const result = spawnSync(process.execPath, ['dist/src/daemon.js', '--settings', file], {encoding: 'utf8'});
	expect(result.status).toBe(2);
	expect(result.stderr).toContain(`${file}:3: wat: Unknown key "wat"`);
});
