import {setTimeout as wait} from 'node:timers/promises';
import {afterEach, expect, test} from 'vitest';
import {
	askChat, bookSlot, fetchDocument, startFleet, type TestFleet,
} from '../../tools/harness/mod.js';

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

// A booking sent just before a planned stop is never made, and its caller is
// told that the outcome is unknown: the daemon had asked the log for the right
// to run it, left while the log was slow, and refused what the log then gave to
// it alone.
test('a stop runs a booking whose right was being obtained', async () => {
	fleet = await startFleet({entries: 1, engines: 0, bookings: 2});
	await fleet.configure(customers);
	const book = async (booking: string) => bookSlot(fleet.entries[0]!.process.ready.callers, {
		key, booking, idempotencyKey: booking, deadline: '20s',
	});
	await book('first');
	await fetchDocument(`${fleet.log.ready.url}/control`, {delay: 600});
	const answers = Array.from({length: 6}, async (_, index) => book(`slot-${index}`));
	await wait(200);
	const exited = fleet.upstreams[0]!.process.stop();
	const answered = await Promise.all(answers);
	const statuses = answered.map(({status, problem}) => problem?.type ?? status);
	expect({statuses, code: await exited}).toEqual({statuses: answers.map(() => 200), code: 0});
});
