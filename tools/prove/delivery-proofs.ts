/**
 * Proofs that every caller receives the complete answer to its own request.
 *
 * @module
 */
import {setTimeout as wait} from 'node:timers/promises';
import {fetchDocument, waitUntil, type TestFleet} from '../harness/mod.js';
import {
	startStream, city, configureCity, sumEngineCounts, isOwnAnswer, getCallerUrl, readStatus, tryChat, waitForReceipts,
} from './scenario-steps.js';
import {
	fastSuspicion, replaceModule, type Proof,
} from './proof.js';

const deliveryPromise = 'A caller receives the whole answer to its own request and no one else\'s.';

const crossedAnswers: Proof = {
	name: 'crossed-answers',
	promise: deliveryPromise,
	scenario: `A parent reads a summary about another child. A faulty daemon sends frames of one answer in the stream of
another. Only the request ID, attempt, sequence number and digest distinguish them.`,
	isInCi: true,
	fleet: {
		entries: 1, engines: 1, bookings: 0, replacedModules: replaceModule('src/daemon/upstream-interface', 'upstream-interface-with-crossed-frames'),
	},
	unguardedModules: replaceModule('src/coordination/streams/frame-check', 'frame-check-disabled'),
	async run(fleet) {
		await configureCity(fleet);
		const answers = await Promise.all(Array.from({length: 12}, async (_, index) => tryChat(getCallerUrl(fleet.entries[0]), {
			content: `crossed ${index} answer 40`, maxTokens: 40, stream: index % 2 === 0,
		})));
		const own = answers.filter(answer => answer?.isWhole && isOwnAnswer(answer.text, 40)).length;
		const status = await readStatus(fleet.entries[0]!);
		return {holds: own === answers.length, figures: {answers: answers.length, own, dropped: status.events.frameDropped ?? 0}};
	},
};

const silentUpstreamLink: Proof = {
	name: 'silent-upstream-link',
	promise: deliveryPromise,
	scenario: `A caller's stream stops half-way and never resumes. The connection between entry and upstream daemon has
stalled permanently, while new connections work.`,
	isInCi: true,
	fleet: {
		entries: 1, engines: 1, bookings: 0, hasProxies: true, settings: fastSuspicion,
	},
	unguardedModules: replaceModule('src/transport/fleet-client', 'fleet-client-without-abandon'),
	async run(fleet) {
		await configureCity(fleet);
		const answer = tryChat(getCallerUrl(fleet.entries[0]), {
			content: 'answer 300', maxTokens: 300, stream: true, deadline: '15s',
			onFirstChunk() {
				fleet.upstreams[0]!.peerProxy!.stallOpenConnections();
			},
		});
		const outcome = await answer;
		const {runs} = await sumEngineCounts(fleet);
		await waitForReceipts(fleet);
		const budget = await fleet.readBudget(city.budget);
		return {
			holds: Boolean(outcome?.isWhole) && isOwnAnswer(outcome!.text, 300) && runs === 1 && budget.billed < 330 && outcome!.totalMs < 8000,
			figures: {
				isWhole: Boolean(outcome?.isWhole), tokens: outcome?.tokens ?? 0, runs, billed: budget.billed, totalMs: Math.round(outcome?.totalMs ?? 0),
			},
		};
	},
};

const silentEngineLink: Proof = {
	name: 'silent-engine-link',
	promise: deliveryPromise,
	scenario: `A caller's stream stops half-way and never resumes. The connection between upstream daemon and engine has
stalled permanently, while new connections work.`,
	isInCi: true,
	fleet: {
		entries: 1, engines: 1, bookings: 0, upstreamSettings: {silence: '1s'},
	},
	unguardedModules: replaceModule('src/transport/engine-client', 'engine-client-without-idle-timeout'),
	async run(fleet) {
		await configureCity(fleet);
		const engine = fleet.upstreams[0]!.standIn.ready.url;
		const outcome = await tryChat(getCallerUrl(fleet.entries[0]), {
			content: 'answer 300', maxTokens: 300, stream: true, deadline: '10s',
			onFirstChunk() {
				void fetchDocument(`${engine}/control`, {silenceOpen: true});
			},
		});
		const {runs, resumed} = await sumEngineCounts(fleet);
		return {
			holds: Boolean(outcome?.isWhole) && isOwnAnswer(outcome!.text, 300) && runs === 1 && outcome!.totalMs < 6000,
			figures: {
				isWhole: Boolean(outcome?.isWhole), tokens: outcome?.tokens ?? 0, runs, resumed, totalMs: Math.round(outcome?.totalMs ?? 0),
			},
		};
	},
};

const silentLogLink: Proof = {
	name: 'silent-log-link',
	promise: 'An accepted configuration is in force everywhere within seconds and never reverts.',
	scenario: `An operator's change is accepted, but one daemon never receives it. Its connection to the log has stalled
permanently, while new connections work.`,
	isInCi: true,
	fleet: {
		entries: 2, engines: 1, bookings: 0, hasProxies: true, settings: {...fastSuspicion, log: {timeout: '1s'}},
	},
	unguardedModules: {
		...replaceModule('src/transport/log-client', 'log-client-without-timeout'),
		...replaceModule('src/coordination/peers/membership', 'membership-without-relay'),
	},
	async run(fleet) {
		await configureCity(fleet);
		await wait(500);
		fleet.upstreams[0]!.logProxy!.stallOpenConnections();
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
	promise: deliveryPromise,
	scenario: `Two failures at once: the connection to the upstream daemon stalls, and the entry that was resuming the stream
is killed. The caller retries through another entry and must get the whole answer of the one run.`,
	isInCi: false,
	fleet: {
		entries: 2, engines: 2, bookings: 0, hasProxies: true, settings: fastSuspicion,
	},
	unguardedModules: replaceModule('src/state/request-table', 'request-table-without-lookup'),
	async run(fleet) {
		await configureCity(fleet);
		const call = {
			content: 'answer 300', maxTokens: 300, stream: true, idempotencyKey: 'letter-9', deadline: '20s',
		};
		const first = await startStream(getCallerUrl(fleet.entries[0]), call);
		for (const upstream of fleet.upstreams) {
			upstream.peerProxy!.stallOpenConnections();
		}

		await wait(300);
		await fleet.entries[0]!.process.kill();
		await first.outcome;
		const second = await tryChat(getCallerUrl(fleet.entries[1]), call);
		await waitForReceipts(fleet);
		const {runs} = await sumEngineCounts(fleet);
		const budget = await fleet.readBudget(city.budget);
		return {
			holds: Boolean(second?.isWhole) && isOwnAnswer(second!.text, 300) && runs === 1 && budget.burnt === 0,
			figures: {
				isWhole: Boolean(second?.isWhole), runs, billed: budget.billed, burnt: budget.burnt,
			},
		};
	},
};

/** Proofs of answer delivery. */
export const deliveryProofs: readonly Proof[] = [crossedAnswers, silentUpstreamLink, silentEngineLink, silentLogLink, silentLinkAndKilledEntry];
