/**
 * Proofs that spend never passes what was bought, and that few are refused who
 * need not be.
 *
 * @module
 */
import {setTimeout as wait} from 'node:timers/promises';
import {
	bookSlot, fetchDocument, waitUntil, type CallerAnswer, type TestFleet,
} from '../harness/mod.js';
import {
	beginStream, city, configureCity, countBookings, countEngines, describeRefusals, listen, readBudget, readStatus, setLog, spendUntilRefused, sumTokens, tryChat, waitForReceipts,
} from './count.js';
import {
	quick, refusalMeasure, replaceModule, spendPromise, type Proof, type ProofOutcome,
} from './proof.js';

const billPromise = 'Each caller request is billed exactly once.';

async function waitUntilEnded(fleet: TestFleet, daemon: string): Promise<void> {
	const {operators} = fleet.entries[1]!.process.ready;
	await waitUntil(async () => {
		const {hosts} = await fetchDocument<{hosts: Array<{daemon: string}>}>(`${operators}/v1/hosts`);
		return hosts.every(host => host.daemon !== daemon);
	}, `the peers have ended ${daemon}`);
}

async function cutOffFirstEntry(fleet: TestFleet, isCut: boolean): Promise<void> {
	fleet.entries[0]!.logRelay!.setCut(isCut);
	fleet.entries[0]!.peerRelay!.setCut(isCut);
	fleet.entries[1]!.peerRelay!.setCut(isCut);
}

// The second entry spends everything it can get while the first one cannot hear of it; then the first one spends on.
async function spendApart(fleet: TestFleet): Promise<ProofOutcome> {
	const before = [await tryChat(listen(fleet.entries[0]), {content: 'answer 20', maxTokens: 20})];
	await wait(1000);
	await cutOffFirstEntry(fleet, true);
	const {freeHere: heldByCutOff} = await readBudget(fleet.entries[0]!, city.budget);
	fleet.entries[0]!.process.freeze();
	await wait(1500);
	const second = await spendUntilRefused(listen(fleet.entries[1]), {limit: 200});
	await waitUntilEnded(fleet, 'entry-1');
	fleet.entries[0]!.process.resume();
	const first = await spendUntilRefused(listen(fleet.entries[0]), {limit: 60, deadline: '2s'});
	await cutOffFirstEntry(fleet, false);
	await waitForReceipts(fleet);
	const budget = await fleet.findBudget(city.budget);
	const answered = sumTokens([...before, ...first, ...second]);
	return {
		holds: answered <= budget.bought && budget.billed <= budget.bought && second.some(answer => answer.isWhole),
		figures: {
			bought: budget.bought, answered, billed: budget.billed, heldByCutOff, refusals: describeRefusals(first),
			servedByCutOff: first.filter(answer => answer.isWhole).length, servedByOther: second.filter(answer => answer.isWhole).length,
		},
	};
}

const pausedHolder: Proof = {
	name: 'paused-holder',
	promise: spendPromise,
	story: `A customer sees more answers than it bought. An entry is paused and cut off; its peers end it, get its
grant's rest back and spend it; it wakes, still cut off, and spends its grant as if nothing had happened.`,
	isInCi: true,
	fleet: {
		entries: 2, engines: 1, bookings: 0, relays: true, settings: quick,
		// Upstream daemons would hand the cut-off entry the log's records; without that only the fence is left.
		replace: replaceModule('src/coordination/membership', 'membership-without-relay'),
	},
	withoutGuard: replaceModule('src/coordination/receipt-reporter', 'reporter-without-fence'),
	async run(fleet) {
		await configureCity(fleet, 2000);
		return spendApart(fleet);
	},
};

const lostReceipts: Proof = {
	name: 'lost-receipts-answer',
	promise: billPromise,
	story: `A customer is billed for requests it did not make, or gets spent tokens back. The log takes receipts but its
answers are lost; the upstream daemon appends them again, and the copies look like requests that ran twice.`,
	isInCi: true,
	fleet: {entries: 1, engines: 1, bookings: 0},
	withoutGuard: {
		...replaceModule('src/coordination/log-writer', 'writer-that-repeats-blindly'),
		...replaceModule('src/state/ledger', 'ledger-without-batch-numbers'),
	},
	async run(fleet) {
		await configureCity(fleet, 20_000);
		await setLog(fleet, {loseAnswers: 3, loseKind: 'receipts'});
		const answers = await spendUntilRefused(listen(fleet.entries[0]), {limit: 20});
		await waitForReceipts(fleet);
		const budget = await fleet.findBudget(city.budget);
		const answered = sumTokens(answers);
		return {
			holds: budget.billed === answered && budget.refunded === 0,
			figures: {
				answered, billed: budget.billed, refunded: budget.refunded,
			},
		};
	},
};

const logDown: Proof = {
	name: 'log-down',
	promise: refusalMeasure,
	story: `A hotline attendant is refused at night though the budget is ample. The log is down for long, and the entry
holds no tokens because it asks the log for each request.`,
	isInCi: true,
	fleet: {entries: 2, engines: 1, bookings: 0},
	withoutGuard: replaceModule('src/coordination/grant-policy', 'policy-that-asks-first'),
	async run(fleet) {
		await configureCity(fleet, 8000);
		await tryChat(listen(fleet.entries[0]), {content: 'answer 20', maxTokens: 20});
		await wait(1500);
		await setLog(fleet, {isDown: true});
		// All through one entry, more than its own share: the rest is borrowed from its peer.
		const answers = await spendUntilRefused(listen(fleet.entries[0]), {limit: 400, refusals: 1, deadline: '3s'});
		const whileDown = answers.filter(answer => answer.isWhole).length;
		await setLog(fleet, {isDown: false});
		await waitForReceipts(fleet);
		const budget = await fleet.findBudget(city.budget);
		return {
			holds: sumTokens(answers) >= 0.95 * budget.bought && budget.billed <= budget.bought,
			figures: {
				servedWhileDown: whileDown, answered: sumTokens(answers), billed: budget.billed, bought: budget.bought,
			},
		};
	},
};

const slowLog: Proof = {
	name: 'slow-log',
	promise: refusalMeasure,
	story: `Callers wait seconds for each answer because the log answers late. An entry that asks the log for each request
adds the log's delay to every answer; one that claimed ahead does not feel it.`,
	isInCi: true,
	fleet: {entries: 2, engines: 1, bookings: 0},
	withoutGuard: replaceModule('src/coordination/grant-policy', 'policy-that-asks-first'),
	async run(fleet) {
		await configureCity(fleet, 20_000);
		await tryChat(listen(fleet.entries[0]), {content: 'answer 20', maxTokens: 20});
		await wait(1500);
		await setLog(fleet, {delay: 1500});
		const answers = await spendUntilRefused(listen(fleet.entries[0]), {limit: 8, refusals: 1});
		await setLog(fleet, {delay: 0});
		await waitForReceipts(fleet);
		const budget = await fleet.findBudget(city.budget);
		const slowest = Math.max(...answers.map(answer => answer.totalMs));
		return {
			holds: answers.length === 8 && answers.every(answer => answer.isWhole) && slowest < 1000 && budget.billed === sumTokens(answers) + 30,
			figures: {served: answers.filter(answer => answer.isWhole).length, slowestMs: Math.round(slowest), billed: budget.billed},
		};
	},
};

const retryElsewhere: Proof = {
	name: 'retry-elsewhere',
	promise: billPromise,
	story: `A caller's stream breaks when its entry dies; it asks again through another entry with the same key. It
must get the whole answer of the one run, billed once; a second run would be billed or burnt too.`,
	isInCi: true,
	fleet: {
		entries: 2, engines: 2, bookings: 0, settings: quick,
	},
	withoutGuard: replaceModule('src/state/request-table', 'table-that-forgets'),
	async run(fleet) {
		await configureCity(fleet, 20_000);
		const call = {
			content: 'answer 300', maxTokens: 300, stream: true, idempotencyKey: 'letter-7',
		};
		const first = await beginStream(listen(fleet.entries[0]), call);
		await fleet.entries[0]!.process.kill();
		await first.outcome;
		const second = await tryChat(listen(fleet.entries[1]), call);
		await waitForReceipts(fleet);
		const {runs} = await countEngines(fleet);
		const budget = await fleet.findBudget(city.budget);
		return {
			holds: Boolean(second?.isWhole) && second?.tokens === 300 && runs === 1 && budget.burnt === 0 && budget.billed > 300 && budget.billed < 320,
			figures: {
				isWhole: Boolean(second?.isWhole), tokens: second?.tokens ?? 0, runs, billed: budget.billed, burnt: budget.burnt,
				secondStatus: second?.status ?? 0, refusal: second?.problem?.detail ?? '',
			},
		};
	},
};

// What the customer bought covers each request once and not a second time.
async function repeatStream(fleet: TestFleet): Promise<CallerAnswer | undefined> {
	const call = {
		content: 'answer 300', maxTokens: 300, stream: true, idempotencyKey: 'letter-8',
	};
	const first = await beginStream(listen(fleet.entries[0]), call);
	await fleet.entries[0]!.process.kill();
	await first.outcome;
	return tryChat(listen(fleet.entries[1]), call);
}

const repeatWithoutTokens: Proof = {
	name: 'repeat-without-tokens',
	promise: billPromise,
	story: `A caller asks again with its key for what has run and is billed, and is refused: too few tokens are left for
a second run, which nobody needs. A booking that stands is refused as "not run".`,
	isInCi: true,
	fleet: {
		entries: 2, engines: 1, bookings: 1, settings: quick,
	},
	withoutGuard: replaceModule('src/coordination/attempt-runner', 'runner-that-always-reserves'),
	async run(fleet) {
		const village = {key: 'village-key', booking: 'slot-8', idempotencyKey: 'slot-8'};
		await fleet.configure([{name: city.name, key: city.key, tokens: 500}, {name: 'village', key: village.key, tokens: 50}]);
		const booked = await bookSlot(listen(fleet.entries[1]), village);
		const bookedAgain = await bookSlot(listen(fleet.entries[1]), village);
		const letter = await repeatStream(fleet);
		await waitForReceipts(fleet);
		const {runs} = await countEngines(fleet);
		const bookings = await countBookings(fleet);
		const executions = bookings.get(village.booking) ?? 0;
		const budget = await fleet.findBudget(city.budget);
		const isLetterWhole = Boolean(letter?.isWhole) && letter?.tokens === 300;
		return {
			holds: booked.isWhole && bookedAgain.text === booked.text && executions === 1 && isLetterWhole && runs === 1 && budget.billed > 300 && budget.billed < 320,
			figures: {
				isLetterWhole, runs, executions, billed: budget.billed, booked: booked.status, bookedAgain: bookedAgain.status,
				refusals: describeRefusals([bookedAgain, letter]),
			},
		};
	},
};

const killedUpstream: Proof = {
	name: 'killed-upstream',
	promise: billPromise,
	story: `An upstream daemon dies while it writes an answer. The caller, who did not stream, gets a whole answer from
another one, billed once; the tokens reserved for the lost attempt come back when its successor is on the log.`,
	isInCi: true,
	fleet: {
		entries: 1, engines: 2, bookings: 0, settings: quick,
	},
	withoutGuard: replaceModule('src/coordination/settler', 'settler-that-rests'),
	async run(fleet) {
		await configureCity(fleet, 2000);
		const call = tryChat(listen(fleet.entries[0]), {content: 'answer 300', maxTokens: 300});
		let victim = fleet.upstreams[0]!;
		await waitUntil(async () => {
			const statuses = await Promise.all(fleet.upstreams.map(async upstream => readStatus(upstream)));
			const index = statuses.findIndex(status => (status.figures.running ?? 0) > 0);
			victim = fleet.upstreams[index] ?? victim;
			return index !== -1;
		}, 'an upstream daemon runs the request');
		await victim.process.kill();
		const answer = await call;
		await fleet.restart(victim);
		await wait(2500);
		const rest = await spendUntilRefused(listen(fleet.entries[0]), {limit: 100});
		await waitForReceipts(fleet);
		const budget = await fleet.findBudget(city.budget);
		const answered = sumTokens([answer, ...rest]);
		return {
			holds: Boolean(answer?.isWhole) && answered === budget.billed && budget.billed <= budget.bought && budget.billed >= 0.95 * budget.bought,
			figures: {
				isWhole: Boolean(answer?.isWhole), answered, billed: budget.billed, bought: budget.bought,
			},
		};
	},
};

const overrunningEngine: Proof = {
	name: 'overrunning-engine',
	promise: spendPromise,
	story: `An engine ignores the limit it was given and generates twice as much. The caller asked for 40 tokens and must
get and pay no more; what the engine burnt beyond that is cut off.`,
	isInCi: true,
	fleet: {
		entries: 1, engines: 1, bookings: 0, engine: {overrun: 60},
	},
	withoutGuard: replaceModule('src/coordination/engine-limit', 'engine-limit-unread'),
	async run(fleet) {
		await configureCity(fleet, 5000);
		const answer = await tryChat(listen(fleet.entries[0]), {content: 'answer 200', maxTokens: 40, stream: true});
		await waitForReceipts(fleet);
		const budget = await fleet.findBudget(city.budget);
		return {
			holds: answer?.tokens === 40 && answer.isWhole && budget.billed <= 60,
			figures: {tokens: answer?.tokens ?? 0, billed: budget.billed},
		};
	},
};

const topUpMidStream: Proof = {
	name: 'top-up-mid-stream',
	promise: billPromise,
	story: `A budget is topped up while a stream runs, and the answer of the confirmation is lost. The operator repeats
it, and a late copy arrives on the log: the tokens must be there within seconds, and once.`,
	isInCi: true,
	fleet: {entries: 2, engines: 1, bookings: 0},
	withoutGuard: replaceModule('src/state/configuration', 'configuration-without-basis'),
	async run(fleet) {
		await configureCity(fleet, 1000);
		const stream = tryChat(listen(fleet.entries[0]), {content: 'answer 300', maxTokens: 300, stream: true});
		const spent = await spendUntilRefused(listen(fleet.entries[1]), {limit: 60});
		const {operators} = fleet.entries[0]!.process.ready;
		const plan = await fetchDocument<{plan: string}>(`${operators}/v1/intents`, {changes: [{change: 'top-up', budget: city.budget, tokens: 500}]});
		await setLog(fleet, {loseAnswers: 1, loseKind: 'confirm'});
		const startedAt = performance.now();
		const confirmed = await fetchDocument<{state?: string}>(`${operators}/v1/intents/${plan.plan}/confirm`, {});
		const again = await fetchDocument<{state?: string}>(`${operators}/v1/intents/${plan.plan}/confirm`, {});
		await fetchDocument(`${fleet.log.ready.url}/v1/streams/fleet/records`, {records: [{kind: 'confirm', plan: plan.plan, by: 'late copy'}]});
		const next = await tryChat(listen(fleet.entries[1]), {content: 'answer 20', maxTokens: 20});
		const servedAfter = performance.now() - startedAt;
		const streamed = await stream;
		await waitForReceipts(fleet);
		const budget = await fleet.findBudget(city.budget);
		return {
			holds: budget.bought === 1500 && confirmed.state === 'accepted' && again.state === 'accepted' && Boolean(next?.isWhole) && Boolean(streamed?.isWhole) && servedAfter < 5000,
			figures: {
				bought: budget.bought, servedAfterMs: Math.round(servedAfter), streamTokens: streamed?.tokens ?? 0, servedBefore: spent.filter(answer => answer.isWhole).length,
			},
		};
	},
};

/** Proofs of budgets. */
export const budgetProofs: readonly Proof[] = [
	pausedHolder, lostReceipts, logDown, slowLog, retryElsewhere, repeatWithoutTokens, killedUpstream, overrunningEngine, topUpMidStream,
];
