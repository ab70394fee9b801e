import {expect, test} from 'vitest';
import type {EventLog, KeyedLog} from '../../protocol/mod.js';
import {
	createGrantRegistry, createRouteTable, createTokenAccount, holderRecordSchema,
} from '../../state/mod.js';
import {DemandTargetPolicy, createGrantWriter, type KeyedFollower} from '../mod.js';
import type {Demand} from './demand.js';

const events: EventLog = {write: () => undefined, counts: new Map()};

// Guards against customers whose claims are never written, or are written and counted by nobody, because of their names.
test('tokens are claimed for customers who are named as a property of objects', async () => {
	const names = ['constructor', '__proto__', 'city-1'];
	const table = createRouteTable({
		version: 1, routes: [], services: [], customers: names.map(id => ({id, keys: [`key-${id}`], bought: 1000})), limits: {
			headerBytes: 1000, bodyBytes: 1000, headerTimeout: 1000, idleTimeout: 1000,
		},
	});
	const grants = createGrantRegistry();
	const account = createTokenAccount();
	const self = {
		role: 'gateway' as const, daemon: 'e1', incarnation: 'i1', address: 'a', failureDomain: 'd',
	};
	const appended: string[] = [];
	const writer = createGrantWriter({
		self, grants, account, events,
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
			catchUp: async () => true,
			recordEpoch: () => undefined,
			applyOwnRecord({key, value}: {key: string; value: string}) {
				const record = holderRecordSchema.parse(JSON.parse(value));
				grants.put(key, record);
				writer.applyOwnRecord(record);
			},
		} as unknown as KeyedFollower,
		demand: {
			findRate: () => 0, countWanted: () => 100, computeObservedMs: () => 0, setRate: () => undefined,
		} as unknown as Demand,
		findRouteTable: () => table,
		owners: {isOwner: () => true, countClaimers: () => 1, isSettled: () => true},
		waitingClaims: new Map(),
		grantTargetPolicy: new DemandTargetPolicy(),
		isLogComplete: () => true,
		clock: {now: () => 0, sleep: async () => undefined},
		signal: new AbortController().signal,
	});
	await writer.renew();
	const granted = names.map(name => account.get(name).granted);
	expect(granted[2]).toBeGreaterThan(0);
	expect(granted).toEqual(names.map(() => granted[2]));
	expect(names.map(name => grants.sumGranted(name))).toEqual(granted);
	await writer.renew();
	expect(appended.length).toBe(1);
});
