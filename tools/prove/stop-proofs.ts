/**
 * Proofs that a leaving upstream receives no new work, and that a planned stop
 * aborts no request in progress.
 *
 * @module
 */
import {setTimeout as wait} from 'node:timers/promises';
import {
	fetchDocument, waitUntil, type CallerResponse, type TestFleet,
} from '../harness/mod.js';
import {
	city, configureCity, getCallerUrl, readStatus, tryChat, waitForReceipts,
} from './scenario-steps.js';
import {
	fastSuspicion, replaceModule, type Proof,
} from './proof.js';

const leavingPromise = 'An upstream that is leaving receives no new work after a few seconds.';
const stopPromise = 'Every planned stop is a graceful shutdown, cutting off no request in progress.';

const leavingUpstream: Proof = {
	name: 'leaving-upstream',
	promise: leavingPromise,
	scenario: `A caller's answer is aborted because its upstream is replaced. An upstream daemon receives SIGTERM with streams
open. The streams must finish, the daemon must receive no new work, and it must exit with code 0.`,
	isInCi: true,
	fleet: {
		entries: 2, engines: 2, bookings: 0, settings: fastSuspicion, engine: {tokenPause: 15},
	},
	unguardedModules: replaceModule('src/daemon/wait-until-idle', 'wait-until-idle-disabled'),
	async run(fleet) {
		await configureCity(fleet);
		const streams = Array.from({length: 10}, async (_, index) => tryChat(getCallerUrl(fleet.entries[index % 2]), {
			content: `long ${index} answer 400`, maxTokens: 400, stream: true, deadline: '30s',
		}));
		await wait(700);
		const leaving = fleet.upstreams[0]!;
		const before = await fetchDocument<{runs: number}>(`${leaving.standIn.ready.url}/counts`);
		const exitCode = leaving.process.stop();
		await wait(1500);
		const afterNotice = await fetchDocument<{runs: number}>(`${leaving.standIn.ready.url}/counts`);
		const later = await Promise.all(Array.from({length: 20}, async (_, index) => tryChat(getCallerUrl(fleet.entries[index % 2]), {content: `new ${index} answer 5`})));
		const after = await fetchDocument<{runs: number}>(`${leaving.standIn.ready.url}/counts`);
		const whole = await Promise.all(streams);
		const code = await exitCode;
		return {
			holds: whole.every(answer => answer?.isWhole && answer.tokens === 400) && later.every(answer => answer?.isWhole) && after.runs === afterNotice.runs && code === 0,
			figures: {
				streams: whole.length, whole: whole.filter(answer => answer?.isWhole).length, runsBefore: before.runs, newRunsAfterNotice: after.runs - afterNotice.runs, exitCode: code,
			},
		};
	},
};

// Simulates the load balancer of the platform, which routes callers only to entries that report ready.
async function pickReadyEntry(fleet: TestFleet, firstIndex: number): Promise<string> {
	for (let attempt = 0; attempt < 50; attempt++) {
		const entry = fleet.entries[(firstIndex + attempt) % fleet.entries.length]!;
		try {
			const response = await fetch(`${getCallerUrl(entry)}/readyz`);
			if (response.ok) {
				return getCallerUrl(entry);
			}
		} catch {
			// The entry is being replaced.
		}

		await wait(20);
	}

	return getCallerUrl(fleet.entries[0]);
}

// Starts a stream that lasts longer than the time for which a stopping entry reports that it is not ready. Without it
// the entry may have no open request when it stops: the callers run in step, and under load the entry is stopped before
// their first requests reach it.
async function startLongStream(url: string): Promise<Array<Promise<CallerResponse | undefined>>> {
	let reportFirstChunk: () => void = () => undefined;
	const firstChunkReceived = new Promise<void>(resolve => {
		reportFirstChunk = resolve;
	});
	const answer = tryChat(url, {
		content: 'long answer 400', maxTokens: 400, stream: true, deadline: '30s', onFirstChunk: reportFirstChunk,
	});
	await Promise.race([firstChunkReceived, answer]);
	return [answer];
}

async function replaceDaemons(fleet: TestFleet, answers: Array<CallerResponse | undefined>): Promise<number[]> {
	const codes: number[] = [];
	for (const daemon of [...fleet.entries, ...fleet.upstreams]) {
		const streams = fleet.entries.includes(daemon) ? await startLongStream(getCallerUrl(daemon)) : [];
		codes.push(await daemon.process.stop());
		answers.push(...await Promise.all(streams));
		await fleet.restart(daemon);
		await waitUntil(async () => {
			const status = await readStatus(daemon);
			return status.isReady;
		}, `${daemon.id} is ready again`);
		await fleet.waitForPeers();
	}

	return codes;
}

const rollingStop: Proof = {
	name: 'rolling-stop',
	promise: stopPromise,
	scenario: `Callers see aborted answers during an update. Every daemon is stopped and replaced in turn under load. No stream
may be aborted and no request may fail.`,
	isInCi: false,
	fleet: {
		entries: 2, engines: 2, bookings: 1, settings: fastSuspicion, engine: {tokenPause: 10},
	},
	unguardedModules: replaceModule('src/daemon/wait-until-idle', 'wait-until-idle-disabled'),
	async run(fleet) {
		await configureCity(fleet);
		const finished = new AbortController();
		let requestNumber = 0;
		const answers: Array<CallerResponse | undefined> = [];
		const callers = Array.from({length: 6}, async () => {
			while (!finished.signal.aborted) {
				requestNumber += 1;
				const url = await pickReadyEntry(fleet, requestNumber);
				answers.push(await tryChat(url, {
					content: `turn ${requestNumber} answer 300`, maxTokens: 300, stream: requestNumber % 2 === 0, deadline: '30s',
				}));
			}
		});
		const codes = await replaceDaemons(fleet, answers);
		finished.abort();
		await Promise.all(callers);
		await waitForReceipts(fleet);
		const failed = answers.filter(answer => !answer?.isWhole).length;
		const budget = await fleet.readBudget(city.budget);
		return {
			holds: failed === 0 && codes.every(code => code === 0) && budget.burnt === 0,
			figures: {
				requests: answers.length, failed, exitCodes: codes.join(' '), billed: budget.billed, burnt: budget.burnt,
			},
		};
	},
};

/** Proofs of leaving upstreams and planned stops. */
export const stopProofs: readonly Proof[] = [leavingUpstream, rollingStop];
