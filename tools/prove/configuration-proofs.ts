/**
 * Proofs that an accepted configuration takes effect everywhere within seconds and
 * never reverts.
 *
 * @module
 */
import {setTimeout as wait} from 'node:timers/promises';
import {fetchDocument, waitUntil, type FleetDaemon} from '../harness/mod.js';
import {
	city, configureCity, getCallerUrl, readStatus, controlLog, tryChat,
} from './scenario-steps.js';
import {
	fastSuspicion, replaceModule, type Proof,
} from './proof.js';

const promise = 'An accepted configuration is in force everywhere within seconds and never reverts.';

type PlanResponse = {readonly plan: string; readonly state?: string; readonly version?: number; readonly type?: string};

async function createPlan(daemon: FleetDaemon, tokens: number): Promise<PlanResponse> {
	return fetchDocument(`${daemon.process.ready.operators}/v1/intents`, {changes: [{change: 'put-model', model: {name: `m${tokens}`, maxTokens: tokens}}]});
}

async function confirmPlan(daemon: FleetDaemon, id: string): Promise<PlanResponse> {
	return fetchDocument(`${daemon.process.ready.operators}/v1/intents/${id}/confirm`, {});
}

const operatorRace: Proof = {
	name: 'operator-race',
	promise,
	scenario: `Two operators plan against the same version and confirm at two entries at the same time. Both plans are
accepted, and the second one silently overwrites the first.`,
	isInCi: true,
	fleet: {entries: 2, engines: 1, bookings: 0},
	unguardedModules: replaceModule('src/state/configuration', 'configuration-without-basis-check'),
	async run(fleet) {
		await configureCity(fleet, 1000);
		let winners = 0;
		let stale = 0;
		const rounds = 10;
		for (let round = 1; round <= rounds; round++) {
			const plans = await Promise.all(fleet.entries.map(async (entry, index) => createPlan(entry, (round * 10) + index)));
			const outcomes = await Promise.all(plans.map(async (item, index) => confirmPlan(fleet.entries[index]!, item.plan)));
			winners += outcomes.filter(outcome => outcome.state === 'accepted').length;
			stale += outcomes.filter(outcome => outcome.type === 'urn:fireflylane:plan-stale').length;
		}

		return {holds: winners === rounds && stale === rounds, figures: {rounds, winners, stale}};
	},
};

const partitionedDaemon: Proof = {
	name: 'cut-off-daemon-learns',
	promise,
	scenario: `A revoked key still works at one entry for an hour. That entry is partitioned from the log but not from its
peers, and waits until the log is reachable again.`,
	isInCi: true,
	fleet: {
		entries: 2, engines: 1, bookings: 0, hasProxies: true, settings: fastSuspicion,
	},
	unguardedModules: replaceModule('src/coordination/peers/membership', 'membership-without-relay'),
	async run(fleet) {
		await configureCity(fleet, 1000);
		fleet.entries[1]!.logProxy!.setPartitioned(true);
		fleet.upstreams[0]!.logProxy!.setPartitioned(true);
		await wait(500);
		const startedAt = performance.now();
		const version = await fleet.applyChanges([{change: 'put-model', model: {name: 'second', maxTokens: 10}}]);
		await waitUntil(async () => {
			const statuses = await Promise.all([fleet.entries[1]!, fleet.upstreams[0]!].map(async daemon => readStatus(daemon)));
			return statuses.every(status => status.version >= version);
		}, 'the partitioned daemons have the version', 9000);
		return {holds: true, figures: {inForceAfterMs: Math.round(performance.now() - startedAt)}};
	},
};

const pausedDaemon: Proof = {
	name: 'frozen-daemon',
	promise,
	scenario: `An entry is paused while the configuration of a model changes, and answers by the old configuration after it
resumes. The log has dropped the records in between, so the entry can catch up only from a snapshot or from a peer.`,
	isInCi: true,
	fleet: {
		entries: 2, engines: 1, bookings: 0, settings: {...fastSuspicion, log: {snapshotEvery: 15}},
	},
	unguardedModules: {
		...replaceModule('src/coordination/store/snapshotter', 'snapshotter-disabled'),
		...replaceModule('src/coordination/peers/membership', 'membership-without-relay'),
	},
	async run(fleet) {
		await configureCity(fleet, 1000);
		fleet.entries[1]!.process.pause();
		await controlLog(fleet, {retention: 40});
		let version = 0;
		for (let round = 1; round <= 40; round++) {
			version = await fleet.applyChanges([{change: 'put-model', model: {name: 'second', maxTokens: round}}]);
		}

		const startedAt = performance.now();
		const versions: number[] = [];
		fleet.entries[1]!.process.resume();
		await waitUntil(async () => {
			const status = await readStatus(fleet.entries[1]!);
			versions.push(status.version);
			return status.version >= version;
		}, 'the resumed entry has the version', 9000);
		const hasReverted = versions.some((value, index) => index > 0 && value < versions[index - 1]!);
		return {holds: !hasReverted, figures: {inForceAfterMs: Math.round(performance.now() - startedAt), looks: versions.length, hasReverted}};
	},
};

const retentionExpiry: Proof = {
	name: 'retention-expiry',
	promise,
	scenario: `A replaced host starts without customers and budgets, because the records that created them are older than
the retention of the log.`,
	isInCi: true,
	fleet: {
		entries: 2, engines: 1, bookings: 0, settings: {...fastSuspicion, log: {snapshotEvery: 15}},
	},
	unguardedModules: {
		...replaceModule('src/coordination/store/snapshotter', 'snapshotter-disabled'),
		...replaceModule('src/coordination/peers/membership', 'membership-without-relay'),
	},
	async run(fleet) {
		await configureCity(fleet, 1000);
		await controlLog(fleet, {retention: 40});
		let version = 0;
		for (let round = 1; round <= 60; round++) {
			version = await fleet.applyChanges([{change: 'put-model', model: {name: 'second', maxTokens: round}}]);
		}

		await fleet.entries[1]!.process.kill();
		await fleet.restart(fleet.entries[1]!);
		await waitUntil(async () => {
			const status = await readStatus(fleet.entries[1]!);
			return status.isReady && status.version >= version;
		}, 'the replaced entry has the version', 9000);
		await fleet.waitForPeers();
		const answer = await tryChat(getCallerUrl(fleet.entries[1]), {content: 'answer 5', maxTokens: 10});
		return {holds: Boolean(answer?.isWhole), figures: {isServed: Boolean(answer?.isWhole)}};
	},
};

const startWhileLogDown: Proof = {
	name: 'start-while-log-down',
	promise,
	scenario: `The host of an entry is replaced while the log is down, and callers of the new entry are refused until the log
is back, although its peers have the configuration and hold tokens.`,
	isInCi: true,
	fleet: {
		entries: 2, engines: 1, bookings: 0, hasProxies: true, settings: fastSuspicion,
	},
	unguardedModules: replaceModule('src/coordination/peers/membership', 'membership-without-relay'),
	async run(fleet) {
		// An entry that joins after the budget was created finds all of it claimed by the other one, and holds no tokens until
		// it receives a request.
		await fleet.waitForPeers();
		await configureCity(fleet, 100_000);
		const [peer] = fleet.entries;
		await waitUntil(async () => {
			const budget = await fetchDocument<{freeHere: number}>(`${peer!.process.ready.operators}/v1/budgets/${city.budget}`);
			return budget.freeHere > 0;
		}, 'the peer holds tokens');
		await controlLog(fleet, {isDown: true});
		await fleet.entries[1]!.process.kill();
		fleet.entries[1]!.settings.peers = [fleet.entries[0]!.peerProxy!.address];
		await fleet.restart(fleet.entries[1]!);
		const startedAt = performance.now();
		await waitUntil(async () => {
			const response = await fetch(`${getCallerUrl(fleet.entries[1])}/readyz`);
			return response.ok;
		}, 'the replaced entry is ready', 9000);
		const readyAfterMs = performance.now() - startedAt;
		await wait(1000);
		const answer = await tryChat(getCallerUrl(fleet.entries[1]), {content: 'answer 5', maxTokens: 10});
		return {holds: Boolean(answer?.isWhole), figures: {readyAfterMs: Math.round(readyAfterMs), isServed: Boolean(answer?.isWhole), refusal: answer?.problem?.detail ?? ''}};
	},
};

/** Proofs of configuration changes. */
export const configurationProofs: readonly Proof[] = [operatorRace, partitionedDaemon, pausedDaemon, retentionExpiry, startWhileLogDown];
