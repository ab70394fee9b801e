/**
 * Proofs that a booking runs at most once, and that a booking refused as "not run"
 * has not run.
 *
 * @module
 */
import {setTimeout as wait} from 'node:timers/promises';
import {
	bookSlot, fetchDocument, waitUntil, type CallerResponse, type FleetUpstream, type TestFleet,
} from '../harness/mod.js';
import {
	city, configureCity, countBookings, getCallerUrl, controlLog,
} from './scenario-steps.js';
import {
	fastSuspicion, replaceModule, type Proof,
} from './proof.js';

const atMostOncePromise = 'A non-idempotent request runs at most once.';
const notRunPromise = 'When a request is refused as "not run", it truly did not run.';
const bookingFleet = {
	entries: 2, engines: 0, bookings: 2, settings: fastSuspicion,
};

async function tryBook(url: string, booking: string, deadline = '5s'): Promise<CallerResponse | undefined> {
	try {
		return await bookSlot(url, {
			key: city.key, booking, idempotencyKey: booking, deadline,
		});
	} catch {
		return undefined;
	}
}

async function slowDownServices(fleet: TestFleet, durationMs: number): Promise<void> {
	await Promise.all(fleet.upstreams.map(async upstream => fetchDocument(`${upstream.standIn.ready.url}/control`, {duration: durationMs})));
}

// Counts the refusals as "not run" of bookings that the service has executed, according to its own record.
function countFalseNotRun(counts: Map<string, number>, answers: ReadonlyMap<string, CallerResponse | undefined>): number {
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
	promise: atMostOncePromise,
	scenario: `A family's booking is made twice. The daemon of the booking service is killed before, during and after the
booking. The caller retries through the other entry, and another daemon runs the booking again.`,
	isInCi: true,
	fleet: bookingFleet,
	unguardedModules: replaceModule('src/coordination/requests/service-runner', 'service-runner-without-permit'),
	async run(fleet) {
		await configureCity(fleet);
		const answers = new Map<string, CallerResponse | undefined>();
		await slowDownServices(fleet, 1200);
		const duringCall = tryBook(getCallerUrl(fleet.entries[0]), 'during');
		const executor = await findExecutor(fleet, 'during');
		const after = tryBook(getCallerUrl(fleet.entries[0]), 'after');
		await executor.process.kill();
		await Promise.all([duringCall, after]);
		for (const booking of ['before', 'during', 'after']) {
			answers.set(booking, await tryBook(getCallerUrl(fleet.entries[1]), booking));
		}

		await fleet.restart(executor);
		await wait(1500);
		for (const booking of ['before', 'during', 'after']) {
			answers.set(`${booking}`, await tryBook(getCallerUrl(fleet.entries[1]), booking));
		}

		const counts = await countBookings(fleet);
		const mostExecutions = Math.max(...counts.values());
		const falseNotRun = countFalseNotRun(counts, answers);
		return {
			holds: mostExecutions === 1 && falseNotRun === 0 && answers.get('before')?.status === 200 && answers.get('during')?.problem?.ran === 'unknown',
			figures: {mostExecutions, lies: falseNotRun, during: answers.get('during')?.problem?.ran ?? 'answered'},
		};
	},
};

const lostBookingAnswer: Proof = {
	name: 'lost-booking-answer',
	promise: atMostOncePromise,
	scenario: `A bed is reserved twice. The bed registry makes the reservation, and the connection fails before its answer
arrives. The caller retries, and the daemon, which saw only a failure, calls the bed registry again.`,
	isInCi: true,
	fleet: {...bookingFleet, bookings: 1},
	// There are two guards: the request table keeps the failure, and the permit is granted only once.
	unguardedModules: {
		...replaceModule('src/state/request-table', 'request-table-without-failures'),
		...replaceModule('src/coordination/requests/service-runner', 'service-runner-without-permit'),
	},
	async run(fleet) {
		await configureCity(fleet);
		await fetchDocument(`${fleet.upstreams[0]!.standIn.ready.url}/control`, {loseAnswers: 1});
		const first = await tryBook(getCallerUrl(fleet.entries[0]), 'bed-4');
		const second = await tryBook(getCallerUrl(fleet.entries[1]), 'bed-4');
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
	scenario: `A booking that was refused as "not run" is made all the same, or a booking is made twice. The log is down while
callers book, and an executor is killed. A booking that ran without a record in the log is run again by another daemon.`,
	isInCi: true,
	fleet: bookingFleet,
	unguardedModules: replaceModule('src/coordination/requests/service-runner', 'service-runner-without-permit'),
	async run(fleet) {
		await configureCity(fleet);
		await tryBook(getCallerUrl(fleet.entries[0]), 'warm');
		await wait(500);
		await controlLog(fleet, {isDown: true});
		await wait(500);
		const names = ['one', 'two', 'three', 'four'];
		const answers = new Map<string, CallerResponse | undefined>();
		for (const name of names) {
			answers.set(name, await tryBook(getCallerUrl(fleet.entries[0]), name, '2s'));
		}

		const falseNotRun = countFalseNotRun(await countBookings(fleet), answers);
		await fleet.upstreams[0]!.process.kill();
		await controlLog(fleet, {isDown: false});
		await wait(3000);
		for (const name of names) {
			answers.set(name, await tryBook(getCallerUrl(fleet.entries[1]), name));
		}

		const counts = await countBookings(fleet);
		const mostExecutions = Math.max(...counts.values());
		return {
			holds: mostExecutions === 1 && falseNotRun === 0 && names.every(name => answers.get(name)?.status === 200),
			figures: {mostExecutions, lies: falseNotRun, bookedAfterwards: names.filter(name => answers.get(name)?.status === 200).length},
		};
	},
};

const pausedExecutor: Proof = {
	name: 'frozen-executor',
	promise: atMostOncePromise,
	scenario: `A slot is booked twice. The executor is paused just as it receives the call. The call is sent to another
executor, and the first one resumes with the call still pending.`,
	isInCi: true,
	fleet: bookingFleet,
	unguardedModules: replaceModule('src/coordination/requests/service-runner', 'service-runner-without-permit'),
	async run(fleet) {
		await configureCity(fleet);
		const names = Array.from({length: 8}, (_, index) => `slot-${index}`);
		fleet.upstreams[0]!.process.pause();
		const answers = new Map<string, CallerResponse | undefined>();
		await Promise.all(names.map(async name => {
			answers.set(name, await tryBook(getCallerUrl(fleet.entries[0]), name, '12s'));
		}));
		fleet.upstreams[0]!.process.resume();
		await wait(2500);
		const counts = await countBookings(fleet);
		const falseNotRun = countFalseNotRun(counts, answers);
		const mostExecutions = Math.max(...counts.values());
		const served = names.filter(name => answers.get(name)?.status === 200).length;
		return {holds: mostExecutions === 1 && falseNotRun === 0 && served === names.length, figures: {mostExecutions, lies: falseNotRun, served}};
	},
};

/** Proofs of bookings. */
export const bookingProofs: readonly Proof[] = [killedExecutor, lostBookingAnswer, bookingLogDown, pausedExecutor];
