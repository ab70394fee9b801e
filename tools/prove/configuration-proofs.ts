/**
 * Proofs that an accepted configuration is in force everywhere within seconds
 * and never reverts.
 *
 * @module
 */
import {setTimeout as wait} from 'node:timers/promises';
import {fetchDocument, waitUntil, type FleetDaemon} from '../harness/mod.js';
import {
	city, configureCity, listen, readStatus, setLog, tryChat,
} from './count.js';
import {
	quick, replaceModule, type Proof,
} from './proof.js';

const promise = 'An accepted configuration is in force everywhere within seconds and never reverts.';

type PlanAnswer = {readonly plan: string; readonly state?: string; readonly version?: number; readonly type?: string};

async function plan(daemon: FleetDaemon, tokens: number): Promise<PlanAnswer> {
	return fetchDocument(`${daemon.process.ready.operators}/v1/intents`, {changes: [{change: 'put-model', model: {name: `m${tokens}`, maxTokens: tokens}}]});
}

async function confirm(daemon: FleetDaemon, id: string): Promise<PlanAnswer> {
	return fetchDocument(`${daemon.process.ready.operators}/v1/intents/${id}/confirm`, {});
}

const operatorRace: Proof = {
	name: 'operator-race',
	promise,
	story: `Two operators plan against one version and confirm at two entries at the same moment. Both are told
"accepted", and the second one has silently undone the first.`,
	isInCi: true,
	fleet: {entries: 2, engines: 1, bookings: 0},
	withoutGuard: replaceModule('src/state/configuration', 'configuration-without-basis'),
	async run(fleet) {
		await configureCity(fleet, 1000);
		let winners = 0;
		let stale = 0;
		const rounds = 10;
		for (let round = 1; round <= rounds; round++) {
			const plans = await Promise.all(fleet.entries.map(async (entry, index) => plan(entry, (round * 10) + index)));
			const outcomes = await Promise.all(plans.map(async (item, index) => confirm(fleet.entries[index]!, item.plan)));
			winners += outcomes.filter(outcome => outcome.state === 'accepted').length;
			stale += outcomes.filter(outcome => outcome.type === 'urn:fireflylane:plan-stale').length;
		}

		return {holds: winners === rounds && stale === rounds, figures: {rounds, winners, stale}};
	},
};

const cutOffDaemon: Proof = {
	name: 'cut-off-daemon-learns',
	promise,
	story: `A revoked key still works at one entry for an hour. That entry is cut off from the log, though not from its
peers, and waits for the log to come back.`,
	isInCi: true,
	fleet: {
		entries: 2, engines: 1, bookings: 0, relays: true, settings: quick,
	},
	withoutGuard: replaceModule('src/coordination/membership', 'membership-without-relay'),
	async run(fleet) {
		await configureCity(fleet, 1000);
		fleet.entries[1]!.logRelay!.setCut(true);
		fleet.upstreams[0]!.logRelay!.setCut(true);
		await wait(500);
		const startedAt = performance.now();
		const version = await fleet.applyChanges([{change: 'put-model', model: {name: 'second', maxTokens: 10}}]);
		await waitUntil(async () => {
			const statuses = await Promise.all([fleet.entries[1]!, fleet.upstreams[0]!].map(async daemon => readStatus(daemon)));
			return statuses.every(status => status.version >= version);
		}, 'the cut-off daemons have the version', 9000);
		return {holds: true, figures: {inForceAfterMs: Math.round(performance.now() - startedAt)}};
	},
};

const frozenDaemon: Proof = {
	name: 'frozen-daemon',
	promise,
	story: `An entry is paused while a budget's model is changed, and answers by the old configuration when it wakes. The
log has dropped the records in between, so only a snapshot or a peer can bring it up.`,
	isInCi: true,
	fleet: {
		entries: 2, engines: 1, bookings: 0, settings: {...quick, log: {snapshotEvery: 15}},
	},
	withoutGuard: {
		...replaceModule('src/coordination/snapshotter', 'snapshotter-that-rests'),
		...replaceModule('src/coordination/membership', 'membership-without-relay'),
	},
	async run(fleet) {
		await configureCity(fleet, 1000);
		fleet.entries[1]!.process.freeze();
		await setLog(fleet, {retention: 40});
		let version = 0;
		for (let round = 1; round <= 40; round++) {
			version = await fleet.applyChanges([{change: 'put-model', model: {name: 'second', maxTokens: round}}]);
		}

		const startedAt = performance.now();
		const seen: number[] = [];
		fleet.entries[1]!.process.resume();
		await waitUntil(async () => {
			const status = await readStatus(fleet.entries[1]!);
			seen.push(status.version);
			return status.version >= version;
		}, 'the woken entry has the version', 9000);
		const hasReverted = seen.some((value, index) => index > 0 && value < seen[index - 1]!);
		return {holds: !hasReverted, figures: {inForceAfterMs: Math.round(performance.now() - startedAt), looks: seen.length, hasReverted}};
	},
};

const retentionExpiry: Proof = {
	name: 'retention-expiry',
	promise,
	story: `A replaced host comes up without customers and budgets: the records that made them are older than the log's
retention.`,
	isInCi: true,
	fleet: {
		entries: 2, engines: 1, bookings: 0, settings: {...quick, log: {snapshotEvery: 15}},
	},
	withoutGuard: {
		...replaceModule('src/coordination/snapshotter', 'snapshotter-that-rests'),
		...replaceModule('src/coordination/membership', 'membership-without-relay'),
	},
	async run(fleet) {
		await configureCity(fleet, 1000);
		await setLog(fleet, {retention: 40});
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
		const answer = await tryChat(listen(fleet.entries[1]), {content: 'answer 5', maxTokens: 10});
		return {holds: Boolean(answer?.isWhole), figures: {isServed: Boolean(answer?.isWhole)}};
	},
};

const startWhileLogDown: Proof = {
	name: 'start-while-log-down',
	promise,
	story: `An entry's host is replaced while the log is down, and callers of the new entry are refused until the log is
back. Its peers know the configuration and hold tokens.`,
	isInCi: true,
	fleet: {
		entries: 2, engines: 1, bookings: 0, relays: true, settings: quick,
	},
	withoutGuard: replaceModule('src/coordination/membership', 'membership-without-relay'),
	async run(fleet) {
		// An entry that joins after the budget finds the whole of it claimed by the other one, and holds nothing until asked.
		await fleet.waitForPeers();
		await configureCity(fleet, 100_000);
		const [peer] = fleet.entries;
		await waitUntil(async () => {
			const budget = await fetchDocument<{freeHere: number}>(`${peer!.process.ready.operators}/v1/budgets/${city.budget}`);
			return budget.freeHere > 0;
		}, 'the peer holds tokens');
		await setLog(fleet, {isDown: true});
		await fleet.entries[1]!.process.kill();
		fleet.entries[1]!.settings.peers = [fleet.entries[0]!.peerRelay!.address];
		await fleet.restart(fleet.entries[1]!);
		const startedAt = performance.now();
		await waitUntil(async () => {
			const answer = await fetch(`${listen(fleet.entries[1])}/readyz`);
			return answer.ok;
		}, 'the replaced entry is ready', 9000);
		const readyAfter = performance.now() - startedAt;
		await wait(1000);
		const answer = await tryChat(listen(fleet.entries[1]), {content: 'answer 5', maxTokens: 10});
		return {holds: Boolean(answer?.isWhole), figures: {readyAfterMs: Math.round(readyAfter), isServed: Boolean(answer?.isWhole), refusal: answer?.problem?.detail ?? ''}};
	},
};

/** Proofs of configuration. */
export const configurationProofs: readonly Proof[] = [operatorRace, cutOffDaemon, frozenDaemon, retentionExpiry, startWhileLogDown];
