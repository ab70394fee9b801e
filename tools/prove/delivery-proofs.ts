/**
 * Proofs that every answer arrives whole, every booking runs at most once, and
 * every planned stop cuts nothing.
 *
 * @module
 */
import {setTimeout as wait} from 'node:timers/promises';
import {
	bookSlot, fetchDocument, waitUntil, type CallerAnswer, type FleetUpstream, type TestFleet,
} from '../harness/mod.js';
import {
	city, countBookings, countEngines, isOwnText, listen, readStatus, setLog, tryChat, waitForReceipts,
} from './count.js';
import {replaceModule, type Proof} from './proof.js';

const quick = {heartbeat: {every: '200ms', suspectAfter: '1s'}};
const oncePromise = 'A non-idempotent request runs at most once.';
const notRunPromise = 'When a request is refused as "not run", it truly did not run.';
const wholePromise = 'A caller receives the whole answer to its own request and no one else\'s.';
const leavingPromise = 'An upstream that is leaving receives no new work after a few seconds.';
const stopPromise = 'Every planned stop is a graceful shutdown, cutting off no request in progress.';
const bookingFleet = {
	entries: 2, engines: 0, bookings: 2, settings: quick,
};

async function configure(fleet: TestFleet): Promise<void> {
	await fleet.configure([{name: city.name, key: city.key, tokens: 1_000_000}]);
}

async function tryBook(url: string, booking: string, deadline = '5s'): Promise<CallerAnswer | undefined> {
	try {
		return await bookSlot(url, {
			key: city.key, booking, idempotencyKey: booking, deadline,
		});
	} catch {
		return undefined;
	}
}

async function slowServices(fleet: TestFleet, duration: number): Promise<void> {
	await Promise.all(fleet.upstreams.map(async upstream => fetchDocument(`${upstream.standIn.ready.url}/control`, {duration})));
}

// A refusal as "not run" is a lie when the service's own record shows the booking.
function countLies(counts: Map<string, number>, answers: ReadonlyMap<string, CallerAnswer | undefined>): number {
	return [...answers].filter(([booking, answer]) => answer?.problem?.ran === 'no' && (counts.get(booking) ?? 0) > 0).length;
}

async function findExecutor(fleet: TestFleet, booking: string): Promise<FleetUpstream> {
	let found: FleetUpstream | undefined;
	await waitUntil(async () => {
		for (const upstream of fleet.upstreams) {
			const {executions} = await fetchDocument<{executions: Array<{booking: string}>}>(`${upstream.standIn.ready.url}/executions`);
			if (executions.some(execution => execution.booking === booking)) {
				found = upstream;
			}
		}

		return found !== undefined;
	}, `booking ${booking} is executed`);
	return found!;
}

const killedExecutor: Proof = {
	name: 'killed-executor',
	promise: oncePromise,
	story: `A family's booking is made twice. The daemon beside the booking service dies before, during and after the
booking; the caller asks again through the other entry, and another daemon would run it anew.`,
	isInCi: true,
	fleet: bookingFleet,
	withoutGuard: replaceModule('src/coordination/service-runner', 'runner-without-register'),
	async run(fleet) {
		await configure(fleet);
		const answers = new Map<string, CallerAnswer | undefined>();
		await slowServices(fleet, 1200);
		const during = tryBook(listen(fleet.entries[0]), 'during');
		const executor = await findExecutor(fleet, 'during');
		const after = tryBook(listen(fleet.entries[0]), 'after');
		await executor.process.kill();
		await Promise.all([during, after]);
		for (const booking of ['before', 'during', 'after']) {
			answers.set(booking, await tryBook(listen(fleet.entries[1]), booking));
		}

		await fleet.restart(executor);
		await wait(1500);
		for (const booking of ['before', 'during', 'after']) {
			answers.set(`${booking}`, await tryBook(listen(fleet.entries[1]), booking));
		}

		const counts = await countBookings(fleet);
		const most = Math.max(...counts.values());
		const lies = countLies(counts, answers);
		return {
			holds: most === 1 && lies === 0 && answers.get('before')?.status === 200 && answers.get('during')?.problem?.ran === 'unknown',
			figures: {mostExecutions: most, lies, during: answers.get('during')?.problem?.ran ?? 'answered'},
		};
	},
};

const lostBookingAnswer: Proof = {
	name: 'lost-booking-answer',
	promise: oncePromise,
	story: `A bed is reserved twice. The registry makes the reservation and the connection breaks before its answer; the
caller asks again, and the daemon, which saw only a failure, would call the registry again.`,
	isInCi: true,
	fleet: {...bookingFleet, bookings: 1},
	withoutGuard: replaceModule('src/state/request-table', 'table-that-forgets-failures'),
	async run(fleet) {
		await configure(fleet);
		await fetchDocument(`${fleet.upstreams[0]!.standIn.ready.url}/control`, {loseAnswers: 1});
		const first = await tryBook(listen(fleet.entries[0]), 'bed-4');
		const second = await tryBook(listen(fleet.entries[1]), 'bed-4');
		const counts = await countBookings(fleet);
		return {
			holds: counts.get('bed-4') === 1 && first?.problem?.ran === 'unknown' && second?.problem?.ran === 'unknown',
			figures: {executions: counts.get('bed-4') ?? 0, first: first?.problem?.ran ?? 'answered', second: second?.problem?.ran ?? 'answered'},
		};
	},
};

const bookingLogDown: Proof = {
	name: 'booking-log-down',
	promise: notRunPromise,
	story: `A booking is refused as not run and made all the same, or twice. The log is down while callers book and an
executor dies; what ran without a record would be run again by its successor.`,
	isInCi: true,
	fleet: bookingFleet,
	withoutGuard: replaceModule('src/coordination/service-runner', 'runner-without-register'),
	async run(fleet) {
		await configure(fleet);
		await tryBook(listen(fleet.entries[0]), 'warm');
		await wait(500);
		await setLog(fleet, {isDown: true});
		await wait(500);
		const names = ['one', 'two', 'three', 'four'];
		const answers = new Map<string, CallerAnswer | undefined>();
		for (const name of names) {
			answers.set(name, await tryBook(listen(fleet.entries[0]), name, '2s'));
		}

		const lies = countLies(await countBookings(fleet), answers);
		await fleet.upstreams[0]!.process.kill();
		await setLog(fleet, {isDown: false});
		await wait(3000);
		for (const name of names) {
			answers.set(name, await tryBook(listen(fleet.entries[1]), name));
		}

		const counts = await countBookings(fleet);
		const most = Math.max(...counts.values());
		return {
			holds: most === 1 && lies === 0 && names.every(name => answers.get(name)?.status === 200),
			figures: {mostExecutions: most, lies, bookedAfterwards: names.filter(name => answers.get(name)?.status === 200).length},
		};
	},
};

const frozenExecutor: Proof = {
	name: 'frozen-executor',
	promise: oncePromise,
	story: `A slot is booked twice. The executor is paused just as the call reaches it; the caller's call goes to another
executor; the first one wakes with the call still in its hands.`,
	isInCi: true,
	fleet: bookingFleet,
	withoutGuard: replaceModule('src/coordination/service-runner', 'runner-without-register'),
	async run(fleet) {
		await configure(fleet);
		const names = Array.from({length: 8}, (_, index) => `slot-${index}`);
		fleet.upstreams[0]!.process.freeze();
		const answers = new Map<string, CallerAnswer | undefined>();
		await Promise.all(names.map(async name => {
			answers.set(name, await tryBook(listen(fleet.entries[0]), name, '12s'));
		}));
		fleet.upstreams[0]!.process.resume();
		await wait(2500);
		const counts = await countBookings(fleet);
		const lies = countLies(counts, answers);
		const most = Math.max(...counts.values());
		const served = names.filter(name => answers.get(name)?.status === 200).length;
		return {holds: most === 1 && lies === 0 && served === names.length, figures: {mostExecutions: most, lies, served}};
	},
};

const crossedAnswers: Proof = {
	name: 'crossed-answers',
	promise: wholePromise,
	story: `A parent reads a summary about another child. Frames of one answer arrive in the stream of another, as from
a faulty daemon; only their names, sequence and digest tell them apart.`,
	isInCi: true,
	fleet: {
		entries: 1, engines: 1, bookings: 0, replace: replaceModule('src/daemon/upstream-interface', 'upstream-interface-that-crosses'),
	},
	withoutGuard: replaceModule('src/coordination/frame-check', 'frames-unchecked'),
	async run(fleet) {
		await configure(fleet);
		const answers = await Promise.all(Array.from({length: 12}, async (_, index) => tryChat(listen(fleet.entries[0]), {
			content: `crossed ${index} answer 40`, maxTokens: 40, stream: index % 2 === 0,
		})));
		const own = answers.filter(answer => answer?.isWhole && isOwnText(answer.text, 40)).length;
		const status = await readStatus(fleet.entries[0]!);
		return {holds: own === answers.length, figures: {answers: answers.length, own, dropped: status.events.frameDropped ?? 0}};
	},
};

const silentUpstreamLink: Proof = {
	name: 'silent-upstream-link',
	promise: wholePromise,
	story: `A caller's stream stops half-way and never goes on. The connection between entry and upstream daemon has
gone silent for good, while new ones work.`,
	isInCi: true,
	fleet: {
		entries: 1, engines: 1, bookings: 0, relays: true, settings: quick,
	},
	withoutGuard: replaceModule('src/transport/fleet-client', 'fleet-client-that-waits'),
	async run(fleet) {
		await configure(fleet);
		const answer = tryChat(listen(fleet.entries[0]), {
			content: 'answer 300', maxTokens: 300, stream: true, deadline: '15s',
			onFirst() {
				fleet.upstreams[0]!.peerRelay!.silenceOpen();
			},
		});
		const outcome = await answer;
		const {runs} = await countEngines(fleet);
		await waitForReceipts(fleet);
		const budget = await fleet.findBudget(city.budget);
		return {
			holds: Boolean(outcome?.isWhole) && isOwnText(outcome!.text, 300) && runs === 1 && budget.billed < 330 && outcome!.totalMs < 8000,
			figures: {
				isWhole: Boolean(outcome?.isWhole), tokens: outcome?.tokens ?? 0, runs, billed: budget.billed, totalMs: Math.round(outcome?.totalMs ?? 0),
			},
		};
	},
};

const silentEngineLink: Proof = {
	name: 'silent-engine-link',
	promise: wholePromise,
	story: `A caller's stream stops half-way and never goes on. The connection between upstream daemon and engine has gone
silent for good, while new ones work.`,
	isInCi: true,
	fleet: {
		entries: 1, engines: 1, bookings: 0, upstreamSettings: {silence: '1s'},
	},
	withoutGuard: replaceModule('src/transport/engine-client', 'engine-client-that-waits'),
	async run(fleet) {
		await configure(fleet);
		const engine = fleet.upstreams[0]!.standIn.ready.url;
		const outcome = await tryChat(listen(fleet.entries[0]), {
			content: 'answer 300', maxTokens: 300, stream: true, deadline: '10s',
			onFirst() {
				void fetchDocument(`${engine}/control`, {silenceOpen: true});
			},
		});
		const {runs, resumed} = await countEngines(fleet);
		return {
			holds: Boolean(outcome?.isWhole) && isOwnText(outcome!.text, 300) && runs === 1 && outcome!.totalMs < 6000,
			figures: {
				isWhole: Boolean(outcome?.isWhole), tokens: outcome?.tokens ?? 0, runs, resumed, totalMs: Math.round(outcome?.totalMs ?? 0),
			},
		};
	},
};

const silentLogLink: Proof = {
	name: 'silent-log-link',
	promise: 'An accepted configuration is in force everywhere within seconds and never reverts.',
	story: `An operator's change is accepted and one daemon never hears of it. Its connection to the log has gone silent
for good, while new ones work.`,
	isInCi: true,
	fleet: {
		entries: 2, engines: 1, bookings: 0, relays: true, settings: {...quick, log: {timeout: '1s'}},
	},
	withoutGuard: {
		...replaceModule('src/transport/log-client', 'log-client-that-waits'),
		...replaceModule('src/coordination/membership', 'membership-without-relay'),
	},
	async run(fleet) {
		await configure(fleet);
		await wait(500);
		fleet.upstreams[0]!.logRelay!.silenceOpen();
		const startedAt = performance.now();
		const version = await fleet.applyChanges([{change: 'put-model', model: {name: 'second', maxTokens: 10}}]);
		await waitUntil(async () => {
			const status = await readStatus(fleet.upstreams[0]!);
			return status.version >= version;
		}, 'the change is in force', 9000);
		return {holds: true, figures: {inForceAfterMs: Math.round(performance.now() - startedAt)}};
	},
};

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
		await configure(fleet);
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

async function replaceAll(fleet: TestFleet): Promise<number[]> {
	const codes: number[] = [];
	for (const daemon of [...fleet.entries, ...fleet.upstreams]) {
		codes.push(await daemon.process.stop());
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
		await configure(fleet);
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
		const codes = await replaceAll(fleet);
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

const silentLinkAndKilledEntry: Proof = {
	name: 'silent-link-and-killed-entry',
	promise: wholePromise,
	story: `Two failures at once: the link to the upstream daemon goes silent, and the entry that was resuming the stream
dies. The caller asks again elsewhere and must get the whole answer of the one run.`,
	isInCi: false,
	fleet: {
		entries: 2, engines: 2, bookings: 0, relays: true, settings: quick,
	},
	withoutGuard: replaceModule('src/state/request-table', 'table-that-forgets'),
	async run(fleet) {
		await configure(fleet);
		const call = {
			content: 'answer 300', maxTokens: 300, stream: true, idempotencyKey: 'letter-9', deadline: '20s',
		};
		let begun: () => void = () => undefined;
		const hasBegun = new Promise<void>(resolve => {
			begun = resolve;
		});
		const first = tryChat(listen(fleet.entries[0]), {...call, onFirst: begun});
		await hasBegun;
		for (const upstream of fleet.upstreams) {
			upstream.peerRelay!.silenceOpen();
		}

		await wait(300);
		await fleet.entries[0]!.process.kill();
		await first;
		const second = await tryChat(listen(fleet.entries[1]), call);
		await waitForReceipts(fleet);
		const {runs} = await countEngines(fleet);
		const budget = await fleet.findBudget(city.budget);
		return {
			holds: Boolean(second?.isWhole) && isOwnText(second!.text, 300) && runs === 1 && budget.burnt === 0,
			figures: {
				isWhole: Boolean(second?.isWhole), runs, billed: budget.billed, burnt: budget.burnt,
			},
		};
	},
};

/** Proofs of delivery, single execution and graceful stops. */
export const deliveryProofs: readonly Proof[] = [
	killedExecutor,
	lostBookingAnswer,
	bookingLogDown,
	frozenExecutor,
	crossedAnswers,
	silentUpstreamLink,
	silentEngineLink,
	silentLogLink,
	leavingUpstream,
	rollingStop,
	silentLinkAndKilledEntry,
];
