import {expect, test} from 'vitest';
import {createFakeKeyedLog} from '../../tools/harness/fake-keyed-log.js';
import {createVirtualTime} from '../../tools/measure/virtual-clock.js';
import type {EventLog} from '../protocol/mod.js';
import {createCrashRegistry} from '../state/mod.js';
import {createQuarantine, createQuarantineRecorder, rankByRendezvous} from './mod.js';

const events: EventLog = {write: () => undefined, counts: new Map()};

function startGateway(daemon = 'g1', peers: readonly string[] = []) {
	const time = createVirtualTime();
	const log = createFakeKeyedLog();
	const stopper = new AbortController();
	const book = createCrashRegistry();
	const quarantine = createQuarantine({
		book, daemon, listPeers: () => peers, clock: time, events,
		onChange: () => undefined,
		onCrash(digest) {
			recorder.noteCrash(digest);
		},
	});
	const recorder = createQuarantineRecorder({
		log: log.open(), book, quarantine, daemon, listPeers: () => peers, clock: time, events,
	});
	void recorder.run(stopper.signal);

	function crash(digest: string, count: number): void {
		for (let index = 0; index < count; index += 1) {
			quarantine.begin(digest).noteCrash('u');
		}
	}

	return {
		time, log, stopper, book, quarantine, recorder, crash,
	};
}

// Guards against the same for a crash that comes while the one before it is written.
test('a crash that is noted during a write is written at once too', async () => {
	const names = ['g1', 'g2', 'g3'];
	const other = names.find(name => ['d1', 'd2'].every(digest => rankByRendezvous(digest, names)[0] !== name))!;
	const {time, log, stopper, crash} = startGateway(other, names.filter(name => name !== other));
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

// Guards against a crash that is forgotten because all gateways lose power in the next moment.
test('two crashes in a row are on the log at once', async () => {
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

test('what stands on the log holds a request back after a restart', async () => {
	const before = startGateway();
	before.crash('d1', 3);
	await before.time.runUntil(300);
	before.stopper.abort();
	const after = startGateway();
	for (const record of before.log.records) {
		after.recorder.take(record);
	}

	expect(after.quarantine.admit('d1').ok).toBe(false);
	after.stopper.abort();
});

test('an answer takes the record back, and it is dropped in the end', async () => {
	const {time, log, stopper, quarantine, crash} = startGateway();
	crash('d1', 3);
	await time.runUntil(300);
	quarantine.begin('d1').noteAnswered();
	await time.runUntil(1000);
	expect(log.records.at(-1)!.value).toBe('{"round":1,"crashes":0}');
	await time.runUntil(61_500);
	quarantine.prune();
	await time.runUntil(62_000);
	expect(log.records.at(-1)).toMatchObject({key: '@quarantine/d1', value: undefined});
	stopper.abort();
});

test('what could not be written is written when the log is back', async () => {
	const {time, log, stopper, crash} = startGateway();
	log.isAway = true;
	crash('d1', 3);
	await time.runUntil(5000);
	log.isAway = false;
	await time.runUntil(7500);
	expect(log.records).toHaveLength(1);
	stopper.abort();
});

test('of several gateways that learn of crashes elsewhere one writes', async () => {
	const names = ['g1', 'g2', 'g3'];
	const fleet = names.map(name => startGateway(name, names.filter(other => other !== name)));
	for (const {quarantine, time} of fleet) {
		quarantine.take({digest: 'd1', round: 0, crashes: 3}, 'peer');
		await time.runUntil(1000);
	}

	expect(fleet.map(({log}) => log.records.length).sort((left, right) => left - right)).toEqual([0, 0, 1]);
	for (const {stopper} of fleet) {
		stopper.abort();
	}
});
