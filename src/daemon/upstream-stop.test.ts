import {setTimeout as wait} from 'node:timers/promises';
import {afterEach, expect, test} from 'vitest';
import {
	requestChat, bookSlot, fetchDocument, startFleet, type TestFleet,
} from '../../tools/harness/mod.js';

const key = 'city-key';
const customers = [{name: 'city', key, tokens: 100_000}];
let fleet: TestFleet;

afterEach(async () => {
	await fleet.kill();
});

// Guards against a stream that breaks off in a planned stop of its upstream
// daemon. The entry process was paused for 2.5 s, too short to become suspected.
// The answer ended in the meantime; the upstream daemon waited one second, left,
// and closed the connection while flow control still held back frames.
test('a stop waits until a paused entry daemon has received the last frames', async () => {
	fleet = await startFleet({
		entries: 1, engines: 1, bookings: 0, engine: {tokenPause: 1},
	});
	await fleet.configure(customers);
	const entry = fleet.entries[0]!.process;
	const upstream = fleet.upstreams[0]!.process;
	let resolveStarted: () => void = () => undefined;
	const started = new Promise<void>(resolve => {
		resolveStarted = resolve;
	});
	const answer = requestChat(entry.ready.callers, {
		key, content: 'answer 400', maxTokens: 400, stream: true, deadline: '30s', onFirstChunk: resolveStarted,
	});
	await started;
	entry.pause();
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

// Guards against a booking that is never made when it is sent just before a
// planned stop, with an unknown outcome for its caller. The daemon had requested
// the permit to run it from the log, left while the log was slow, and refused the
// booking although the log had assigned it to this daemon alone.
test('a stop runs a booking whose permit was being obtained', async () => {
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
