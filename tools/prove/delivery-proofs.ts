/**
 * Proofs that every answer arrives whole and at its own asker.
 *
 * @module
 */
import {setTimeout as wait} from 'node:timers/promises';
import {fetchDocument, waitUntil, type TestFleet} from '../harness/mod.js';
import {
	beginStream, city, configureCity, countEngines, isOwnText, listen, readStatus, tryChat, waitForReceipts,
} from './count.js';
import {
	quick, replaceModule, type Proof,
} from './proof.js';

const wholePromise = 'A caller receives the whole answer to its own request and no one else\'s.';

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
		await configureCity(fleet);
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
		await configureCity(fleet);
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
		await configureCity(fleet);
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
		await configureCity(fleet);
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
		await configureCity(fleet);
		const call = {
			content: 'answer 300', maxTokens: 300, stream: true, idempotencyKey: 'letter-9', deadline: '20s',
		};
		const first = await beginStream(listen(fleet.entries[0]), call);
		for (const upstream of fleet.upstreams) {
			upstream.peerRelay!.silenceOpen();
		}

		await wait(300);
		await fleet.entries[0]!.process.kill();
		await first.outcome;
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

/** Proofs of delivery. */
export const deliveryProofs: readonly Proof[] = [crossedAnswers, silentUpstreamLink, silentEngineLink, silentLogLink, silentLinkAndKilledEntry];
