import {expect, test} from 'vitest';
import {
	Ok, createEventLog, type LogEntry, type LogRecord,
} from '../../protocol/mod.js';
import {createRequestTable} from '../../state/mod.js';
import {createSystemClock, type LogClient} from '../../transport/mod.js';
import {
	createLogFollower, createLogWriter, createReceiptReporter, createServiceRunner, type Self,
} from '../mod.js';

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

/** Starts a service runner whose log accepts every record. */
async function startRunner(self: Self) {
	const clock = createSystemClock();
	const events = createEventLog(self.id);
	const log = createFakeLog();
	const follower = createLogFollower({
		log, clock, events, windowMs: 1000, fetchFromPeers: async () => undefined, longPollMs: 5,
	});
	const abortController = new AbortController();
	void follower.run(abortController.signal);
	await follower.waitFor(() => follower.isLogUp(), AbortSignal.timeout(5000));
	const writer = createLogWriter({
		log, follower, clock, events,
	});
	const reporter = createReceiptReporter({
		self, follower, writer, table: createRequestTable({maxAnswerBytes: 1}), clock, events, intervalMs: 1000,
	});
	const runner = createServiceRunner({
		self, follower, writer, reporter, clock, events,
		client: {call: async () => Ok({status: 200, body: new Uint8Array()}), isAlive: async () => true, close: async () => undefined},
	});
	return {
		runner, log, follower,
		stop() {
			abortController.abort();
		},
	};
}

const upstream: Self = {
	id: 'up-1', role: 'upstream', incarnation: 'i-1', isLeaving: false,
};

// Guards against a booking that runs twice: the daemon has run it, its bounded
// request table has dropped it, and a retry finds the run record in the log
// that still assigns it to this daemon.
test('a request is permitted to run once, and again only if it has not run', async () => {
	const {runner, stop} = await startRunner(upstream);
	const first = await runner.obtainPermit('r1', service);
	const second = await runner.obtainPermit('r1', service);
	runner.markNotRun('r1');
	const third = await runner.obtainPermit('r1', service);
	stop();
	expect(first.kind).toBe('mine');
	expect(second).toMatchObject({kind: 'refused', failure: {type: 'outcome-unknown', ran: 'unknown'}});
	expect(third.kind).toBe('mine');
});

// Guards against refusing a booking as "not run" once its budget is used up, although the log assigns it to another daemon.
test('findPermit() reads permits from the log without obtaining one', async () => {
	const {runner, log, follower, stop} = await startRunner(upstream);
	const before = runner.findPermit('r1');
	await log.append([{
		kind: 'run', request: 'r1', daemon: 'up-2', incarnation: 'i-9',
	}]);
	await follower.waitFor(state => state.runs.has('r1'), AbortSignal.timeout(5000));
	const other = runner.findPermit('r1');
	await runner.obtainPermit('r2', service);
	const own = runner.findPermit('r2');
	runner.markNotRun('r2');
	const notRun = [runner.findPermit('r2'), runner.findPermit('r2')];
	stop();
	expect(before).toBe(undefined);
	expect(other).toMatchObject({kind: 'other', run: {daemon: 'up-2'}});
	expect(own).toMatchObject({kind: 'refused', failure: {type: 'outcome-unknown', ran: 'unknown'}});
	expect(notRun).toMatchObject([{kind: 'mine'}, {kind: 'mine'}]);
});
