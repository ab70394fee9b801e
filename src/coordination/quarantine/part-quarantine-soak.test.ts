import process from 'node:process';
import {expect, test} from 'vitest';
import {createCrashFleet, injectFaults, type CrashFleet} from '../../../tools/harness/crash-fleet.js';
import {listPartKeys, type PartKey} from '../mod.js';

// Sends requests that share one part which crashes upstreams, and sound requests that share their other parts, while
// gateways restart, are partitioned and lose datagrams, the store is unavailable, and upstreams crash on their own.
// FIREFLYLANE_SOAK_SEEDS sets the number of seeds, so that more can be run than in CI.

const seedCount = Number(process.env.FIREFLYLANE_SOAK_SEEDS ?? 2);
const gatewayCounts = (process.env.FIREFLYLANE_SOAK_GATEWAYS ?? '4,14,31').split(',').map(Number);
/** Long enough for the first trial of a held part. */
const simulatedMs = 70_000;
/** Faults end before the last sound part that was held back by mistake must be free. */
const faultsEndMs = 30_000;
const stabilityWindowMs = 3000;
const maxCrashes = 5;
const maxLateArrivals = 3;
/** Longest time for which a sound part may stay refused: the delay of the first trial for several held parts, and the time to the next request with the part. */
const maxRefusedMs = 70_000;
/** Share of sound requests that the service's rule wants admitted from `2 * stabilityWindowMs` after the fifth crash. */
const minAdmittedShare = 0.5;
const crashingIntervalMs = 400;
const soundIntervalMs = 40;
const crashDelayMs = 60;
const eventIntervalMs = 100;
/** Crashes before this time are no trials. */
const firstTrialMs = 30_000;
const documentCount = 12;
const rarePartCount = 40;
/** Share of sound requests with a part that few share. */
const rareShare = 0.2;
const sendTimeoutMs = 20_000;
/** Real time, not virtual time, that one seed may take. */
const seedTimeoutMs = 30_000;

type Outcome = 'answered' | 'crashed' | 'refused' | 'unsent';
type SentRequest = {readonly at: number; readonly wasStable: boolean; readonly outcome: Outcome; readonly part: string};

const listParts = (...ids: string[]): PartKey[] => listPartKeys('s', {
	model: 'm', promptTokens: 10, maxOutputTokens: 1, parts: ids.map(id => ({id, tokens: 10})),
});

/** Waits for the end of a run, and reports the data of a sound one on the way. */
async function playRun({time}: CrashFleet, {durationMs, onProgress}: {readonly durationMs: number; readonly onProgress: (() => void) | undefined}): Promise<void> {
	const endAt = time.now() + durationMs;
	while (time.now() < endAt) {
		await time.sleep(Math.min(eventIntervalMs, endAt - time.now()));
		onProgress?.();
	}
}

/** Sends one request to a random gateway, which runs it at one upstream, and a second time if it may be retried. */
async function sendRequest(fleet: CrashFleet, {parts, isCrashing, onArrival}: {readonly parts: readonly PartKey[]; readonly isCrashing: boolean; readonly onArrival: (wasStable: boolean) => void}): Promise<Outcome> {
	const {
		time, random, gateways, upstreams, crash,
	} = fleet;
	const gateway = gateways[Math.floor(random() * gateways.length)]!;
	const {parts: quarantine} = gateway.process!.quarantines;
	if (quarantine.admit(parts).err && !await quarantine.tryTrial(parts)) {
		return 'refused';
	}

	const durationMs = isCrashing ? crashDelayMs : 100 + (random() * 2000);
	for (let attempt = 0; attempt < 2; attempt += 1) {
		const up = upstreams.filter(({downUntil}) => downUntil <= time.now());
		if (up.length === 0) {
			return 'unsent';
		}

		if (!quarantine.admitSend(parts)) {
			return 'refused';
		}

		const upstream = up[Math.floor(random() * up.length)]!;
		const {incarnation} = upstream;
		const run = quarantine.trackRun(parts);
		onArrival(fleet.isStable(gateway));
		await playRun(fleet, {durationMs, onProgress: isCrashing ? undefined : run.recordProgress});
		if (isCrashing && upstream.incarnation === incarnation) {
			crash(upstream);
		}

		if (upstream.incarnation === incarnation) {
			run.recordAnswer();
			return 'answered';
		}

		run.recordCrash({id: `u${upstreams.indexOf(upstream)}`, start: (upstreams.indexOf(upstream) * 100_000) + incarnation}, undefined);
		if (!quarantine.mayRetry(parts, {hasBegun: !isCrashing})) {
			return 'crashed';
		}
	}

	return 'crashed';
}

async function runSoak(gatewayCount: number, seed: number) {
	const fleet = createCrashFleet(gatewayCount, seed);
	const {time, random} = fleet;
	const arrivals: Array<{at: number; wasStable: boolean}> = [];
	const crashesAt: number[] = [];
	const sound: SentRequest[] = [];
	let serial = 0;

	async function sendCrashing(): Promise<void> {
		serial += 1;
		const beside = random() < 0.5 ? [`d${Math.floor(random() * documentCount)}`] : [];
		const outcome = await sendRequest(fleet, {
			parts: listParts('common', ...beside, 'bad', `own${serial}`), isCrashing: true,
			onArrival(wasStable) {
				arrivals.push({at: time.now(), wasStable});
			},
		});
		if (outcome === 'crashed') {
			crashesAt.push(time.now());
		}
	}

	async function sendSound(): Promise<void> {
		serial += 1;
		const part = random() < rareShare ? `r${Math.floor(random() * rarePartCount)}` : `d${Math.floor(random() * documentCount)}`;
		const at = time.now();
		const wasStable = fleet.isStable(fleet.gateways[0]!);
		sound.push({
			at, wasStable, part,
			outcome: await sendRequest(fleet, {parts: listParts('common', part, `own${serial}`), isCrashing: false, onArrival: () => undefined}),
		});
	}

	async function repeat(intervalMs: number, send: () => Promise<void>): Promise<void> {
		while (time.now() < simulatedMs) {
			await time.sleep(intervalMs * (0.5 + random()));
			void send();
		}
	}

	const running = Promise.all([repeat(crashingIntervalMs, sendCrashing), repeat(soundIntervalMs, sendSound), injectFaults(fleet, {untilMs: faultsEndMs})]);
	await time.runUntil(simulatedMs + sendTimeoutMs);
	await running;
	fleet.stop();
	const firstCrashes = crashesAt.filter(at => at < firstTrialMs);
	const knownAt = (crashesAt[maxCrashes - 1] ?? firstCrashes.at(-1)!) + stabilityWindowMs;
	const judged = sound.filter(({at, outcome}) => at > knownAt + stabilityWindowMs && outcome !== 'unsent');
	return {
		late: arrivals.filter(({at, wasStable}) => wasStable && at > knownAt).length,
		crashes: crashesAt.length,
		admittedShare: judged.filter(({outcome}) => outcome !== 'refused').length / judged.length,
		refused: sound.filter(({outcome}) => outcome === 'refused').length,
		refusedParts: new Set(sound.filter(({outcome}) => outcome === 'refused').map(({part}) => part)).size,
		longestRefusedMs: findLongestRefusedMs(sound),
	};
}

/** Returns the longest time over which all requests with one part were refused. */
function findLongestRefusedMs(sound: readonly SentRequest[]): number {
	const since = new Map<string, number>();
	let longest = 0;
	for (const {at, part, outcome} of sound.toSorted((left, right) => left.at - right.at)) {
		if (outcome === 'refused') {
			since.set(part, since.get(part) ?? at);
			longest = Math.max(longest, at - since.get(part)!);
		} else {
			since.delete(part);
		}
	}

	return Math.round(longest);
}

// Guards against more arrivals of requests with the part than the service's rule allows, trials included, and against
// refusing requests that share their other parts.
test.each(gatewayCounts)('%i gateways hold back only the part that crashes upstreams', async gatewayCount => {
	for (let seed = 1; seed <= seedCount; seed += 1) {
		const outcome = await runSoak(gatewayCount, seed);
		const description = `${gatewayCount} gateways, seed ${seed}: ${JSON.stringify(outcome)}`;
		if (process.env.FIREFLYLANE_SOAK_SEEDS !== undefined) {
			process.stdout.write(`${description}\n`);
		}

		expect(outcome.late, description).toBeLessThanOrEqual(maxLateArrivals);
		expect(outcome.admittedShare, description).toBeGreaterThan(minAdmittedShare);
		expect(outcome.longestRefusedMs, description).toBeLessThan(maxRefusedMs);
	}
}, seedCount * seedTimeoutMs);
