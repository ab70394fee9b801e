/**
 * Proofs that a leaving upstream gets no new work and that every planned stop
 * cuts nothing.
 *
 * @module
 */
import {setTimeout as wait} from 'node:timers/promises';
import {
	fetchDocument, waitUntil, type CallerAnswer, type TestFleet,
} from '../harness/mod.js';
import {
	city, configureCity, listen, readStatus, tryChat, waitForReceipts,
} from './count.js';
import {
	quick, replaceModule, type Proof,
} from './proof.js';

const leavingPromise = 'An upstream that is leaving receives no new work after a few seconds.';
const stopPromise = 'Every planned stop is a graceful shutdown, cutting off no request in progress.';

const leavingUpstream: Proof = {
	name: 'leaving-upstream',
	promise: leavingPromise,
	story: `A caller's answer is cut because its upstream was replaced. An upstream daemon gets SIGTERM with streams open:
they must finish, nothing new may reach it, and it must exit with 0.`,
	isInCi: true,
	fleet: {
		entries: 2, engines: 2, bookings: 0, settings: quick, engine: {tokenPause: 15},
	},
	withoutGuard: replaceModule('src/daemon/wait-until-idle', 'stop-that-does-not-wait'),
	async run(fleet) {
		await configureCity(fleet);
		const streams = Array.from({length: 10}, async (_, index) => tryChat(listen(fleet.entries[index % 2]), {
			content: `long ${index} answer 400`, maxTokens: 400, stream: true, deadline: '30s',
		}));
		await wait(700);
		const leaving = fleet.upstreams[0]!;
		const before = await fetchDocument<{runs: number}>(`${leaving.standIn.ready.url}/counts`);
		const exited = leaving.process.stop();
		await wait(1500);
		const atNotice = await fetchDocument<{runs: number}>(`${leaving.standIn.ready.url}/counts`);
		const later = await Promise.all(Array.from({length: 20}, async (_, index) => tryChat(listen(fleet.entries[index % 2]), {content: `new ${index} answer 5`})));
		const after = await fetchDocument<{runs: number}>(`${leaving.standIn.ready.url}/counts`);
		const whole = await Promise.all(streams);
		const code = await exited;
		return {
			holds: whole.every(answer => answer?.isWhole && answer.tokens === 400) && later.every(answer => answer?.isWhole) && after.runs === atNotice.runs && code === 0,
			figures: {
				streams: whole.length, whole: whole.filter(answer => answer?.isWhole).length, runsBefore: before.runs, newRunsAfterNotice: after.runs - atNotice.runs, exitCode: code,
			},
		};
	},
};

// Stands for the platform's balancer: sends callers only to entries that say they are ready.
async function pickReady(fleet: TestFleet, turn: number): Promise<string> {
	for (let tries = 0; tries < 50; tries++) {
		const entry = fleet.entries[(turn + tries) % fleet.entries.length]!;
		try {
			const answer = await fetch(`${listen(entry)}/readyz`);
			if (answer.ok) {
				return listen(entry);
			}
		} catch {
			// This one is being replaced.
		}

		await wait(20);
	}

	return listen(fleet.entries[0]);
}

// A stream that has just begun at the entry and lasts longer than its notice to the balancer. Without one the stop may
// meet no request: the callers run in step, and under load the entry is stopped before their first requests reach it.
async function openLongStream(url: string): Promise<Array<Promise<CallerAnswer | undefined>>> {
	let begin: () => void = () => undefined;
	const begun = new Promise<void>(resolve => {
		begin = resolve;
	});
	const answer = tryChat(url, {
		content: 'long answer 400', maxTokens: 400, stream: true, deadline: '30s', onFirst: begin,
	});
	await Promise.race([begun, answer]);
	return [answer];
}

async function replaceAll(fleet: TestFleet, answers: Array<CallerAnswer | undefined>): Promise<number[]> {
	const codes: number[] = [];
	for (const daemon of [...fleet.entries, ...fleet.upstreams]) {
		const open = fleet.entries.includes(daemon) ? await openLongStream(listen(daemon)) : [];
		codes.push(await daemon.process.stop());
		answers.push(...await Promise.all(open));
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
	story: `Callers see cut answers on the day of an update. Every daemon is stopped and replaced in turn under load; no
stream may break and no request may fail.`,
	isInCi: false,
	fleet: {
		entries: 2, engines: 2, bookings: 1, settings: quick, engine: {tokenPause: 10},
	},
	withoutGuard: replaceModule('src/daemon/wait-until-idle', 'stop-that-does-not-wait'),
	async run(fleet) {
		await configureCity(fleet);
		const over = new AbortController();
		let turn = 0;
		const answers: Array<CallerAnswer | undefined> = [];
		const callers = Array.from({length: 6}, async () => {
			while (!over.signal.aborted) {
				turn += 1;
				const url = await pickReady(fleet, turn);
				answers.push(await tryChat(url, {
					content: `turn ${turn} answer 300`, maxTokens: 300, stream: turn % 2 === 0, deadline: '30s',
				}));
			}
		});
		const codes = await replaceAll(fleet, answers);
		over.abort();
		await Promise.all(callers);
		await waitForReceipts(fleet);
		const failed = answers.filter(answer => !answer?.isWhole).length;
		const budget = await fleet.findBudget(city.budget);
		return {
			holds: failed === 0 && codes.every(code => code === 0) && budget.burnt === 0,
			figures: {
				requests: answers.length, failed, exitCodes: codes.join(' '), billed: budget.billed, burnt: budget.burnt,
			},
		};
	},
};

/** Proofs of leaving and stopping. */
export const stopProofs: readonly Proof[] = [leavingUpstream, rollingStop];
