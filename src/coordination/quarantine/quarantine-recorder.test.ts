import {expect, test} from 'vitest';
import {createFakeKeyedLog} from '../../../tools/harness/fake-keyed-log.js';
import {createVirtualTime} from '../../../tools/measure/virtual-clock.js';
import type {EventLog} from '../../protocol/mod.js';
import {createCrashRegistry} from '../../state/mod.js';
import {
	LoggedRequests, createQuarantine, createQuarantineRecorder, rankByRendezvous,
} from '../mod.js';

const events: EventLog = {write: () => undefined, counts: new Map()};

function startGateway(daemon = 'g1', peers: readonly string[] = []) {
	const time = createVirtualTime();
	const log = createFakeKeyedLog();
	const stopper = new AbortController();
	const crashRegistry = createCrashRegistry();
	const quarantine = createQuarantine({
		crashRegistry, daemon, listPeers: () => peers, clock: time, events,
		onChange: () => undefined,
		onCrash(digest) {
			recorder.recordCrash(loggedRequests, digest);
		},
	});
	const loggedRequests = new LoggedRequests(crashRegistry, quarantine);
	const recorder = createQuarantineRecorder({
		log: log.open(), kinds: [loggedRequests], daemon, listPeers: () => peers, clock: time, events,
	});
	void recorder.run(stopper.signal);

	function crash(digest: string, count: number): void {
		for (let index = 0; index < count; index += 1) {
			quarantine.trackRun(digest).recordCrash('u');
		}
	}

	return {
		time, log, stopper, crashRegistry, quarantine, recorder, crash,
	};
}

// Guards against losing a crash in a power failure because it occurs while the previous crash is being written.
test('a crash recorded during a write is written immediately after it', async () => {
	const names = ['g1', 'g2', 'g3'];
	const nonWriter = names.find(name => ['d1', 'd2'].every(digest => rankByRendezvous(digest, names)[0] !== name))!;
	const {time, log, stopper, crash} = startGateway(nonWriter, names.filter(name => name !== nonWriter));
	await time.runUntil(100);
	log.onAppend = () => {
		log.onAppend = () => undefined;
		crash('d2', 2);
	};

	crash('d1', 2);
	await time.runUntil(110);
	expect(log.records.map(({key}) => key)).toEqual(['@quarantine/d1', '@quarantine/d2']);
	stopper.abort();
});

// Guards against losing a crash because all gateways lose power shortly after it.
test('two consecutive crashes are written to the log immediately', async () => {
	const {time, log, stopper, crash} = startGateway();
	await time.runUntil(100);
	crash('d1', 1);
	await time.runUntil(101);
	expect(log.records).toEqual([]);
	crash('d1', 1);
	await time.runUntil(102);
	expect(log.records).toEqual([{key: '@quarantine/d1', value: '{"round":0,"crashes":2}', offset: 0}]);
	stopper.abort();
});

test('records in the log hold a request back after a restart', async () => {
	const before = startGateway();
	before.crash('d1', 3);
	await before.time.runUntil(300);
	before.stopper.abort();
	const after = startGateway();
	for (const record of before.log.records) {
		after.recorder.applyRecord(record);
	}

	expect(after.quarantine.admit('d1').ok).toBe(false);
	after.stopper.abort();
});

test('an answer resets the record in the log, and pruning the record deletes it there', async () => {
	const {time, log, stopper, quarantine, crash} = startGateway();
	crash('d1', 3);
	await time.runUntil(300);
	quarantine.trackRun('d1').recordAnswer();
	await time.runUntil(1000);
	expect(log.records.at(-1)!.value).toBe('{"round":1,"crashes":0}');
	await time.runUntil(61_500);
	quarantine.prune();
	await time.runUntil(62_000);
	expect(log.records.at(-1)).toMatchObject({key: '@quarantine/d1', value: undefined});
	stopper.abort();
});

test('a record that could not be written is written when the log is available again', async () => {
	const {time, log, stopper, crash} = startGateway();
	log.isUnavailable = true;
	crash('d1', 3);
	await time.runUntil(5000);
	log.isUnavailable = false;
	await time.runUntil(7500);
	expect(log.records).toHaveLength(1);
	stopper.abort();
});

test('of several gateways that receive a crash record from a peer, only one writes it', async () => {
	const names = ['g1', 'g2', 'g3'];
	const fleet = names.map(name => startGateway(name, names.filter(other => other !== name)));
	for (const {quarantine, time} of fleet) {
		quarantine.merge({digest: 'd1', round: 0, crashes: 3}, 'peer');
		await time.runUntil(1000);
	}

	expect(fleet.map(({log}) => log.records.length).sort((left, right) => left - right)).toEqual([0, 0, 1]);
	for (const {stopper} of fleet) {
		stopper.abort();
	}
});
