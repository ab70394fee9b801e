import {expect, test} from 'vitest';
import type {EventLog, KeyedLog} from '../../protocol/mod.js';
import {
	createGrantRegistry, createRouteTable, createTokenAccount, holderRecordSchema,
} from '../../state/mod.js';
import {
	DemandTargetPolicy, UnseenDemandTargetPolicy, createBudgetOwners, createGrantWriter, type CreateGrantWriterOptions, type GrantTargetPolicy, type KeyedFollower,
} from '../mod.js';
import type {Demand} from './demand.js';

const events: EventLog = {write: () => undefined, counts: new Map()};

const self = {
	role: 'gateway' as const, daemon: 'e1', incarnation: 'i1', address: 'a', failureDomain: 'd',
};

type CreateWriterOptions = Pick<CreateGrantWriterOptions, 'owners'> & {
	readonly customers: readonly string[];
	/** Tokens that waiting requests of each customer need. */
	readonly wanted: number;
	readonly grantTargetPolicy: GrantTargetPolicy;
	/** Called when the log is read. */
	readonly onRead?: () => void;
};

function createWriter({customers, wanted, owners, grantTargetPolicy, onRead}: CreateWriterOptions) {
	const table = createRouteTable({
		version: 1, routes: [], services: [], customers: customers.map(id => ({id, keys: [`key-${id}`], bought: 1000})), limits: {
			headerBytes: 1000, bodyBytes: 1000, headerTimeout: 1000, idleTimeout: 1000,
		},
	});
	const grants = createGrantRegistry();
	const account = createTokenAccount();
	const appended: string[] = [];
	const writer = createGrantWriter({
		self, grants, account, events, owners, grantTargetPolicy,
		log: {
			name: 'grants',
			async append({value}: {value: string}) {
				appended.push(value);
				return {kind: 'appended', offset: appended.length, epoch: undefined};
			},
		} as unknown as KeyedLog,
		follower: {
			getEpoch: () => undefined,
			getNextOffset: () => appended.length,
			async catchUp() {
				onRead?.();
				return true;
			},
			recordEpoch: () => undefined,
			applyOwnRecord({key, value}: {key: string; value: string}) {
				const record = holderRecordSchema.parse(JSON.parse(value));
				grants.put(key, record);
				writer.applyOwnRecord(record);
			},
		} as unknown as KeyedFollower,
		demand: {
			findRate: () => 0, countWanted: () => wanted, computeObservedMs: () => 0, setRate: () => undefined,
		} as unknown as Demand,
		findRouteTable: () => table,
		waitingClaims: new Map(),
		isLogComplete: () => true,
		clock: {now: () => 0, sleep: async () => undefined},
		signal: new AbortController().signal,
	});
	return {
		writer, grants, account, appended,
	};
}

// Guards against customers whose claims are never written, or are written and counted by nobody, because of their names.
test('tokens are claimed for customers who are named as a property of objects', async () => {
	const names = ['constructor', '__proto__', 'city-1'];
	const {writer, grants, account, appended} = createWriter({
		customers: names, wanted: 100, grantTargetPolicy: new DemandTargetPolicy(), owners: {
			isOwner: () => true, countClaimers: () => 1, isSettled: () => true, refresh: () => undefined,
		},
	});
	await writer.renew();
	const granted = names.map(name => account.get(name).granted);
	expect(granted[2]).toBeGreaterThan(0);
	expect(granted).toEqual(names.map(() => granted[2]));
	expect(names.map(name => grants.sumGranted(name))).toEqual(granted);
	await writer.renew();
	expect(appended.length).toBe(1);
});

// Guards against a claim of all that one gateway may hold by one that has just read of the others.
test('a gateway that reads of others before it claims does not claim as the only one', async () => {
	const fleet = {now: 0, peers: [] as string[]};
	const owners = createBudgetOwners({clock: {now: () => fleet.now, sleep: async () => undefined}, daemon: 'e1', listPeers: () => fleet.peers});
	const {writer, account} = createWriter({
		customers: ['city-1'], wanted: 0, grantTargetPolicy: new UnseenDemandTargetPolicy(), owners, onRead() {
			fleet.peers = ['e2', 'e3', 'e4'];
		},
	});
	fleet.now += 1000;
	await writer.renew();
	expect(account.get('city-1').granted).toBe(0);
	fleet.now += 1000;
	await writer.renew();
	expect(account.get('city-1').granted).toBe(20);
});
