/**
 * Proofs that every booking runs at most once, and that "not run" is true.
 *
 * @module
 */
import {setTimeout as wait} from 'node:timers/promises';
import {
	bookSlot, fetchDocument, waitUntil, type CallerAnswer, type FleetUpstream, type TestFleet,
} from '../harness/mod.js';
import {
	city, configureCity, countBookings, listen, setLog,
} from './count.js';
import {
	quick, replaceModule, type Proof,
} from './proof.js';

const oncePromise = 'A non-idempotent request runs at most once.';
const notRunPromise = 'When a request is refused as "not run", it truly did not run.';
const bookingFleet = {
	entries: 2, engines: 0, bookings: 2, settings: quick,
};

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
		await configureCity(fleet);
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
	// Two guards stand here: the table keeps the failure, and the right to run is not given twice.
	withoutGuard: {
		...replaceModule('src/state/request-table', 'table-that-forgets-failures'),
		...replaceModule('src/coordination/service-runner', 'runner-without-register'),
	},
	async run(fleet) {
		await configureCity(fleet);
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
		await configureCity(fleet);
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
		await configureCity(fleet);
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

/** Proofs of bookings. */
export const bookingProofs: readonly Proof[] = [killedExecutor, lostBookingAnswer, bookingLogDown, frozenExecutor];
