import {setTimeout as wait} from 'node:timers/promises';
import {afterEach, expect, test} from 'vitest';
import {askChat, startFleet, type TestFleet} from '../../tools/harness/mod.js';

const key = 'city-key';
const customers = [{name: 'city', key, tokens: 100_000}];
let fleet: TestFleet;

afterEach(async () => {
	await fleet.kill();
});

// A caller's stream breaks off although its upstream daemon was stopped as
// planned: the entry stood still for 2.5 s, less than makes a peer suspect. The
// answer ended meanwhile, the daemon waited a second, left and closed the
// connection over the frames that flow control still held back.
test('a stop waits until an entry that stood still has the last frames', async () => {
	fleet = await startFleet({
		entries: 1, engines: 1, bookings: 0, engine: {tokenPause: 1},
	});
	await fleet.configure(customers);
	const entry = fleet.entries[0]!.process;
	const upstream = fleet.upstreams[0]!.process;
	let begin: () => void = () => undefined;
	const begun = new Promise<void>(resolve => {
		begin = resolve;
	});
	const answer = askChat(entry.ready.callers, {
		key, content: 'answer 400', maxTokens: 400, stream: true, deadline: '30s', onFirst: begin,
	});
	await begun;
	entry.freeze();
	const exited = upstream.stop();
	await wait(2500);
	entry.resume();
	const {tokens, isWhole, problem} = await answer;
	expect({
		tokens, isWhole, problem: problem?.type, code: await exited,
	}).toEqual({
		tokens: 400, isWhole: true, problem: undefined, code: 0,
	});
});
