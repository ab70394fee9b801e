import {expect, test} from 'vitest';
import {
	Ok, createEventLog, type LogEntry, type LogRecord,
} from '../protocol/mod.js';
import {createRequestTable} from '../state/mod.js';
import {createSystemClock, type LogClient} from '../transport/mod.js';
import {
	createLogFollower, createLogWriter, createReceiptReporter, createServiceRunner, type Self,
} from './mod.js';

const service = {
	name: 'slots', cost: 50, idempotent: false, withoutLog: 'refuse' as const,
};

function createFakeLog(): LogClient {
	const entries: LogEntry[] = [];
	return {
		async append(records: readonly LogRecord[]) {
			for (const data of records) {
				entries.push({offset: entries.length, at: 0, data});
			}

			return Ok(undefined);
		},
		read: async from => Ok({records: entries.slice(from), first: 0, next: entries.length}),
		close: async () => undefined,
	};
}

/** An executor whose log takes every record. */
async function startRunner(self: Self) {
	const clock = createSystemClock();
	const events = createEventLog(self.id);
	const log = createFakeLog();
	const follower = createLogFollower({
		log, clock, events, window: 1000, fetchFromPeers: async () => undefined, longPoll: 5,
	});
	const stopper = new AbortController();
	void follower.run(stopper.signal);
	await follower.waitFor(() => follower.isLogUp(), AbortSignal.timeout(5000));
	const writer = createLogWriter({
		log, follower, clock, events,
	});
	const reporter = createReceiptReporter({
		self, follower, writer, table: createRequestTable({bytes: 1}), clock, events, every: 1000,
	});
	const runner = createServiceRunner({
		self, follower, writer, reporter, clock, events,
		client: {call: async () => Ok({status: 200, body: new Uint8Array()}), isAlive: async () => true, close: async () => undefined},
	});
	return {
		runner, log, follower,
		stop() {
			stopper.abort();
		},
	};
}

const upstream: Self = {
	id: 'up-1', role: 'upstream', incarnation: 'i-1', isLeaving: false,
};

// A family's slot is booked twice: the executor ran the booking, its bounded
// table forgot it, and the caller's retry finds the run record on the log still
// naming this executor. It must not run again.
test('obtainRight() gives a right once, and again only for what has not run', async () => {
	const {runner, stop} = await startRunner(upstream);
	const first = await runner.obtainRight('r1', service);
	const second = await runner.obtainRight('r1', service);
	runner.noteNotRun('r1');
	const third = await runner.obtainRight('r1', service);
	stop();
	expect(first.kind).toBe('mine');
	expect(second).toMatchObject({kind: 'refused', failure: {type: 'outcome-unknown', ran: 'unknown'}});
	expect(third.kind).toBe('mine');
});

// Guards against a booking that was given to another executor, and is refused as "not run" once its budget is used up.
test('findRight() tells of rights on the log and asks for none', async () => {
	const {runner, log, follower, stop} = await startRunner(upstream);
	const before = runner.findRight('r1');
	await log.append([{
		kind: 'run', request: 'r1', daemon: 'up-2', incarnation: 'i-9',
	}]);
	await follower.waitFor(state => state.runs.has('r1'), AbortSignal.timeout(5000));
	const other = runner.findRight('r1');
	await runner.obtainRight('r2', service);
	const own = runner.findRight('r2');
	runner.noteNotRun('r2');
	const notRun = [runner.findRight('r2'), runner.findRight('r2')];
	stop();
	expect(before).toBe(undefined);
	expect(other).toMatchObject({kind: 'other', run: {daemon: 'up-2'}});
	expect(own).toMatchObject({kind: 'refused', failure: {type: 'outcome-unknown', ran: 'unknown'}});
	expect(notRun).toMatchObject([{kind: 'mine'}, {kind: 'mine'}]);
});
