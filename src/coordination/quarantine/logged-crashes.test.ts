import {expect, test} from 'vitest';
import {createFakeKeyedLog, type FakeKeyedLog} from '../../../tools/harness/fake-keyed-log.js';
import {createVirtualTime, type VirtualTime} from '../../../tools/measure/virtual-clock.js';
import type {EventLog} from '../../protocol/mod.js';
import {createPartCrashRegistry} from '../../state/mod.js';
import {
	LoggedParts, createKeyedFollower, createPartQuarantine, createQuarantineRecorder, listPartKeys,
} from '../mod.js';

const events: EventLog = {write: () => undefined, counts: new Map()};
const parts = listPartKeys('s', {
	model: 'm', promptTokens: 20, maxOutputTokens: 1, parts: [{id: 'bad', tokens: 10}, {id: 'own', tokens: 10}],
});
const {digest} = parts[0]!;
/** Delay of the first trial. */
const firstTrialMs = 30_000;

function startGateway(daemon: string, {time, log}: {readonly time: VirtualTime; readonly log: FakeKeyedLog}) {
	const stopper = new AbortController();
	const {signal} = stopper;
	const registry = createPartCrashRegistry();
	const quarantine = createPartQuarantine({
		registry, clock: time, events, onChange: () => undefined,
		onCrash(crashed) {
			recorder.recordCrash(loggedParts, crashed);
		},
		claimTrial: async claimed => recorder.claimTrial(claimed, {kind: loggedParts, follower, signal}),
	});
	const loggedParts = new LoggedParts(registry, quarantine, time);
	const recorder = createQuarantineRecorder({
		log: log.open(), kinds: [loggedParts], daemon, listPeers: () => ['g1', 'g2'].filter(name => name !== daemon), clock: time, events,
	});
	const follower = createKeyedFollower({
		log: log.open(), clock: time, events, longPollMs: 0, readIntervalMs: 500,
		onRecord(record) {
			recorder.applyRecord(record);
		},
	});
	// The gateway has seen answers to other parts, so that it can judge those that it has not seen answered.
	quarantine.mergeRead(Array.from({length: 20}, (_, index) => `read-${index}`));
	void recorder.run(signal);
	void follower.run(signal);
	return {quarantine, stopper};
}

async function startFleet() {
	const time = createVirtualTime();
	const log = createFakeKeyedLog();
	const fleet = [startGateway('g1', {time, log}), startGateway('g2', {time, log})];
	for (let start = 1; start <= 5; start += 1) {
		await time.runUntil(start * 1000);
		fleet[0]!.quarantine.trackRun(parts).recordCrash({id: `u${start}`, start}, undefined);
	}

	await time.runUntil(7000);
	return {time, log, fleet};
}

async function tryTrials(time: VirtualTime, fleet: ReadonlyArray<ReturnType<typeof startGateway>>): Promise<boolean[]> {
	const tried = Promise.all(fleet.map(async ({quarantine}) => quarantine.tryTrial(parts)));
	await time.runUntil(time.now() + 100);
	return tried;
}

function stop(fleet: ReadonlyArray<ReturnType<typeof startGateway>>): void {
	for (const {stopper} of fleet) {
		stopper.abort();
	}
}

test('a part is written to the log at its second crash, and held back by a gateway that reads it there', async () => {
	const {log, fleet} = await startFleet();
	expect(log.records.map(({key, value}) => [key, (JSON.parse(value!) as {crashes: number}).crashes])).toEqual([2, 3, 4, 5].map(crashes => [`@quarantine/part/${digest}`, crashes]));
	expect(fleet.map(({quarantine}) => quarantine.admit(parts).ok)).toEqual([false, false]);
	stop(fleet);
});

// Guards against one more crash for each gateway that gets a request with the part when its trial is due.
test('of two gateways that claim a trial at the same time one gets it', async () => {
	const {time, log, fleet} = await startFleet();
	await time.runUntil(10_000 + firstTrialMs);
	const tried = await tryTrials(time, fleet);
	expect(tried.filter(Boolean)).toHaveLength(1);
	expect(JSON.parse(log.records.at(-1)!.value!)).toMatchObject({trials: 1, crashes: 5});
	expect(fleet.map(({quarantine}) => quarantine.listHeld()[0]!.trials)).toEqual([1, 1]);
	stop(fleet);
});

test('no trial is begun while the log is unavailable, or if it is unknown whether the claim was written', async () => {
	const {time, log, fleet} = await startFleet();
	await time.runUntil(10_000 + firstTrialMs);
	log.isUnavailable = true;
	expect(await tryTrials(time, fleet)).toEqual([false, false]);
	log.isUnavailable = false;
	await time.runUntil(time.now() + 5000);
	log.appendBehaviors.push('lost-after');
	expect(await tryTrials(time, fleet.slice(0, 1))).toEqual([false]);
	await time.runUntil(time.now() + 2000);
	expect(await tryTrials(time, fleet)).toEqual([false, false]);
	expect(fleet.map(({quarantine}) => quarantine.listHeld()[0]!.trials)).toEqual([1, 1]);
	stop(fleet);
});
