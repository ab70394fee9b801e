/**
 * Proofs that spend never exceeds the tokens bought, and that few requests are
 * refused while budget remains.
 *
 * @module
 */
import {setTimeout as wait} from 'node:timers/promises';
import {
	bookSlot, fetchDocument, waitUntil, type CallerResponse, type TestFleet,
} from '../harness/mod.js';
import {
	startStream, city, configureCity, countBookings, sumEngineCounts, describeRefusals, getCallerUrl, readBudget, readStatus, controlLog, spendUntilRefused, sumTokens, tryChat, waitForReceipts,
} from './scenario-steps.js';
import {
	fastSuspicion, refusalMeasure, replaceModule, spendPromise, type Proof, type ProofOutcome,
} from './proof.js';

const billPromise = 'Each caller request is billed exactly once.';

async function waitUntilRemoved(fleet: TestFleet, daemon: string): Promise<void> {
	const {operators} = fleet.entries[1]!.process.ready;
	await waitUntil(async () => {
		const {hosts} = await fetchDocument<{hosts: Array<{daemon: string}>}>(`${operators}/v1/hosts`);
		return hosts.every(host => host.daemon !== daemon);
	}, `the peers have removed ${daemon}`);
}

async function setFirstEntryPartitioned(fleet: TestFleet, isPartitioned: boolean): Promise<void> {
	fleet.entries[0]!.logProxy!.setPartitioned(isPartitioned);
	fleet.entries[0]!.peerProxy!.setPartitioned(isPartitioned);
	fleet.entries[1]!.peerProxy!.setPartitioned(isPartitioned);
}

// The first entry is partitioned and paused while the second one spends all tokens that it can get. Then the first one
// resumes, still partitioned, and continues to spend.
async function spendWhilePartitioned(fleet: TestFleet): Promise<ProofOutcome> {
	const before = [await tryChat(getCallerUrl(fleet.entries[0]), {content: 'answer 20', maxTokens: 20})];
	await wait(1000);
	await setFirstEntryPartitioned(fleet, true);
	const {freeHere: heldByPartitioned} = await readBudget(fleet.entries[0]!, city.budget);
	fleet.entries[0]!.process.pause();
	await wait(1500);
	const second = await spendUntilRefused(getCallerUrl(fleet.entries[1]), {maxRequests: 200});
	await waitUntilRemoved(fleet, 'entry-1');
	fleet.entries[0]!.process.resume();
	const first = await spendUntilRefused(getCallerUrl(fleet.entries[0]), {maxRequests: 60, deadline: '2s'});
	await setFirstEntryPartitioned(fleet, false);
	await waitForReceipts(fleet);
	const budget = await fleet.readBudget(city.budget);
	const answered = sumTokens([...before, ...first, ...second]);
	return {
		holds: answered <= budget.bought && budget.billed <= budget.bought && second.some(answer => answer.isWhole),
		figures: {
			bought: budget.bought, answered, billed: budget.billed, heldByCutOff: heldByPartitioned, refusals: describeRefusals(first),
			servedByCutOff: first.filter(answer => answer.isWhole).length, servedByOther: second.filter(answer => answer.isWhole).length,
		},
	};
}

const pausedHolder: Proof = {
	name: 'paused-holder',
	promise: spendPromise,
	scenario: `A customer receives more answers than it has paid for. An entry is paused and partitioned. Its peers remove it,
reclaim the remaining tokens of its grant and spend them. The entry resumes, still partitioned, and spends the same
tokens again.`,
	isInCi: true,
	fleet: {
		entries: 2, engines: 1, bookings: 0, hasProxies: true, settings: fastSuspicion,
		// Upstream daemons would relay log records to the partitioned entry. Without them, the fence is the only guard.
		replacedModules: replaceModule('src/coordination/peers/membership', 'membership-without-relay'),
	},
	unguardedModules: replaceModule('src/coordination/store/receipt-reporter', 'receipt-reporter-without-fence'),
	async run(fleet) {
		await configureCity(fleet, 2000);
		return spendWhilePartitioned(fleet);
	},
};

const lostReceiptsAnswer: Proof = {
	name: 'lost-receipts-answer',
	promise: billPromise,
	scenario: `A customer is billed for requests that it did not make, or is refunded tokens that it has spent. The log
stores receipts, but its answers are lost. The upstream daemon appends the receipts again, and the copies look like
requests that ran twice.`,
	isInCi: true,
	fleet: {entries: 1, engines: 1, bookings: 0},
	unguardedModules: {
		...replaceModule('src/coordination/store/log-writer', 'log-writer-with-blind-retry'),
		...replaceModule('src/state/ledger', 'ledger-without-deduplication'),
	},
	async run(fleet) {
		await configureCity(fleet, 20_000);
		await controlLog(fleet, {loseAnswers: 3, loseKind: 'receipts'});
		const answers = await spendUntilRefused(getCallerUrl(fleet.entries[0]), {maxRequests: 20});
		await waitForReceipts(fleet);
		const budget = await fleet.readBudget(city.budget);
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
	scenario: `A hotline attendant is refused at night although the budget is ample. The log is down for a long time, and
the entry holds no tokens because it claims them from the log for each request.`,
	isInCi: true,
	fleet: {entries: 2, engines: 1, bookings: 0},
	unguardedModules: replaceModule('src/coordination/budgets/grant-policy', 'grant-policy-log-first'),
	async run(fleet) {
		await configureCity(fleet, 8000);
		await tryChat(getCallerUrl(fleet.entries[0]), {content: 'answer 20', maxTokens: 20});
		await wait(1500);
		await controlLog(fleet, {isDown: true});
		// All requests go to one entry and exceed its share, so it must borrow the remaining tokens from its peer.
		const answers = await spendUntilRefused(getCallerUrl(fleet.entries[0]), {maxRequests: 400, maxRefusals: 1, deadline: '3s'});
		const whileDown = answers.filter(answer => answer.isWhole).length;
		await controlLog(fleet, {isDown: false});
		await waitForReceipts(fleet);
		const budget = await fleet.readBudget(city.budget);
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
	scenario: `Callers wait seconds for each answer because the log is slow. An entry that claims tokens from the log for each
request adds the delay of the log to every answer; an entry that has claimed tokens ahead does not.`,
	isInCi: true,
	fleet: {entries: 2, engines: 1, bookings: 0},
	unguardedModules: replaceModule('src/coordination/budgets/grant-policy', 'grant-policy-log-first'),
	async run(fleet) {
		await configureCity(fleet, 20_000);
		await tryChat(getCallerUrl(fleet.entries[0]), {content: 'answer 20', maxTokens: 20});
		await wait(1500);
		await controlLog(fleet, {delay: 1500});
		const answers = await spendUntilRefused(getCallerUrl(fleet.entries[0]), {maxRequests: 8, maxRefusals: 1});
		await controlLog(fleet, {delay: 0});
		await waitForReceipts(fleet);
		const budget = await fleet.readBudget(city.budget);
		const slowestMs = Math.max(...answers.map(answer => answer.totalMs));
		return {
			holds: answers.length === 8 && answers.every(answer => answer.isWhole) && slowestMs < 1000 && budget.billed === sumTokens(answers) + 30,
			figures: {served: answers.filter(answer => answer.isWhole).length, slowestMs: Math.round(slowestMs), billed: budget.billed},
		};
	},
};

const retryElsewhere: Proof = {
	name: 'retry-elsewhere',
	promise: billPromise,
	scenario: `A caller's stream fails because its entry is killed, and the caller retries through another entry with the same
idempotency key. It must get the whole answer of the first run, billed once. A second run would be billed or burnt as well.`,
	isInCi: true,
	fleet: {
		entries: 2, engines: 2, bookings: 0, settings: fastSuspicion,
	},
	unguardedModules: replaceModule('src/state/request-table', 'request-table-without-lookup'),
	async run(fleet) {
		await configureCity(fleet, 20_000);
		const call = {
			content: 'answer 300', maxTokens: 300, stream: true, idempotencyKey: 'letter-7',
		};
		const first = await startStream(getCallerUrl(fleet.entries[0]), call);
		await fleet.entries[0]!.process.kill();
		await first.outcome;
		const second = await tryChat(getCallerUrl(fleet.entries[1]), call);
		await waitForReceipts(fleet);
		const {runs} = await sumEngineCounts(fleet);
		const budget = await fleet.readBudget(city.budget);
		return {
			holds: Boolean(second?.isWhole) && second?.tokens === 300 && runs === 1 && budget.burnt === 0 && budget.billed > 300 && budget.billed < 320,
			figures: {
				isWhole: Boolean(second?.isWhole), tokens: second?.tokens ?? 0, runs, billed: budget.billed, burnt: budget.burnt,
				secondStatus: second?.status ?? 0, refusal: second?.problem?.detail ?? '',
			},
		};
	},
};

// Kills the entry while a stream is open and retries through the other entry. The budget covers the request once but
// not a second time.
async function retryStreamAfterKill(fleet: TestFleet): Promise<CallerResponse | undefined> {
	const call = {
		content: 'answer 300', maxTokens: 300, stream: true, idempotencyKey: 'letter-8',
	};
	const first = await startStream(getCallerUrl(fleet.entries[0]), call);
	await fleet.entries[0]!.process.kill();
	await first.outcome;
	return tryChat(getCallerUrl(fleet.entries[1]), call);
}

const repeatWithoutTokens: Proof = {
	name: 'repeat-without-tokens',
	promise: billPromise,
	scenario: `A caller retries with its idempotency key after its request has run and was billed, and is refused because the
remaining tokens do not cover a second run, although none is needed. A booking that was made is refused as "not run".`,
	isInCi: true,
	fleet: {
		entries: 2, engines: 1, bookings: 1, settings: fastSuspicion,
	},
	unguardedModules: replaceModule('src/coordination/requests/attempt-runner', 'attempt-runner-without-attach'),
	async run(fleet) {
		const village = {key: 'village-key', booking: 'slot-8', idempotencyKey: 'slot-8'};
		await fleet.configure([{name: city.name, key: city.key, tokens: 500}, {name: 'village', key: village.key, tokens: 50}]);
		const booked = await bookSlot(getCallerUrl(fleet.entries[1]), village);
		const bookedAgain = await bookSlot(getCallerUrl(fleet.entries[1]), village);
		const letter = await retryStreamAfterKill(fleet);
		await waitForReceipts(fleet);
		const {runs} = await sumEngineCounts(fleet);
		const bookings = await countBookings(fleet);
		const executions = bookings.get(village.booking) ?? 0;
		const budget = await fleet.readBudget(city.budget);
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
	scenario: `An upstream daemon is killed while it generates an answer. The caller, which did not stream, gets a whole answer
from another upstream, billed once. The tokens reserved for the lost attempt are returned once the restarted daemon is
recorded in the log.`,
	isInCi: true,
	fleet: {
		entries: 1, engines: 2, bookings: 0, settings: fastSuspicion,
	},
	unguardedModules: replaceModule('src/coordination/budgets/settler', 'settler-disabled'),
	async run(fleet) {
		await configureCity(fleet, 2000);
		const call = tryChat(getCallerUrl(fleet.entries[0]), {content: 'answer 300', maxTokens: 300});
		let victim = fleet.upstreams[0]!;
		await waitUntil(async () => {
			const statuses = await Promise.all(fleet.upstreams.map(async upstream => readStatus(upstream)));
			const index = statuses.findIndex(status => (status.figures.running ?? 0) > 0);
			victim = fleet.upstreams[index] ?? victim;
			return index !== -1;
		}, 'an upstream daemon is running the request');
		await victim.process.kill();
		const answer = await call;
		await fleet.restart(victim);
		await wait(2500);
		const later = await spendUntilRefused(getCallerUrl(fleet.entries[0]), {maxRequests: 100});
		await waitForReceipts(fleet);
		const budget = await fleet.readBudget(city.budget);
		const answered = sumTokens([answer, ...later]);
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
	scenario: `An engine ignores its token limit and generates more than twice as many tokens. The caller requested 40 tokens and
must not receive or pay for more; the tokens beyond the limit are dropped.`,
	isInCi: true,
	fleet: {
		entries: 1, engines: 1, bookings: 0, engine: {overrun: 60},
	},
	unguardedModules: replaceModule('src/coordination/upstreams/engine-limit', 'engine-limit-ignored'),
	async run(fleet) {
		await configureCity(fleet, 5000);
		const answer = await tryChat(getCallerUrl(fleet.entries[0]), {content: 'answer 200', maxTokens: 40, stream: true});
		await waitForReceipts(fleet);
		const budget = await fleet.readBudget(city.budget);
		return {
			holds: answer?.tokens === 40 && answer.isWhole && budget.billed <= 60,
			figures: {tokens: answer?.tokens ?? 0, billed: budget.billed},
		};
	},
};

const topUpMidStream: Proof = {
	name: 'top-up-mid-stream',
	promise: billPromise,
	scenario: `A budget is topped up while a stream runs, and the log's answer to the confirmation is lost. The operator confirms
again, and a late copy of the confirmation arrives in the log. The tokens must be available within seconds and added
only once.`,
	isInCi: true,
	fleet: {entries: 2, engines: 1, bookings: 0},
	unguardedModules: replaceModule('src/state/configuration', 'configuration-without-basis-check'),
	async run(fleet) {
		await configureCity(fleet, 1000);
		const stream = tryChat(getCallerUrl(fleet.entries[0]), {content: 'answer 300', maxTokens: 300, stream: true});
		const spent = await spendUntilRefused(getCallerUrl(fleet.entries[1]), {maxRequests: 60});
		const {operators} = fleet.entries[0]!.process.ready;
		const plan = await fetchDocument<{plan: string}>(`${operators}/v1/intents`, {changes: [{change: 'top-up', budget: city.budget, tokens: 500}]});
		await controlLog(fleet, {loseAnswers: 1, loseKind: 'confirm'});
		const startedAt = performance.now();
		const confirmed = await fetchDocument<{state?: string}>(`${operators}/v1/intents/${plan.plan}/confirm`, {});
		const again = await fetchDocument<{state?: string}>(`${operators}/v1/intents/${plan.plan}/confirm`, {});
		await fetchDocument(`${fleet.log.ready.url}/v1/streams/fleet/records`, {records: [{kind: 'confirm', plan: plan.plan, by: 'late copy'}]});
		const next = await tryChat(getCallerUrl(fleet.entries[1]), {content: 'answer 20', maxTokens: 20});
		const servedAfterMs = performance.now() - startedAt;
		const streamed = await stream;
		await waitForReceipts(fleet);
		const budget = await fleet.readBudget(city.budget);
		return {
			holds: budget.bought === 1500 && confirmed.state === 'accepted' && again.state === 'accepted' && Boolean(next?.isWhole) && Boolean(streamed?.isWhole) && servedAfterMs < 5000,
			figures: {
				bought: budget.bought, servedAfterMs: Math.round(servedAfterMs), streamTokens: streamed?.tokens ?? 0, servedBefore: spent.filter(answer => answer.isWhole).length,
			},
		};
	},
};

/** Proofs of budgets. */
export const budgetProofs: readonly Proof[] = [
	pausedHolder, lostReceiptsAnswer, logDown, slowLog, retryElsewhere, repeatWithoutTokens, killedUpstream, overrunningEngine, topUpMidStream,
];
