import {expect, test} from 'vitest';
import {createBudgetOwners} from '../mod.js';

function createOwners(daemon: string, names: readonly string[]) {
	const fleet = {now: 0, names};
	const owners = createBudgetOwners({clock: {now: () => fleet.now, sleep: async () => undefined}, daemon, listPeers: () => fleet.names.filter(name => name !== daemon)});
	return {fleet, owners};
}

const names = Array.from({length: 9}, (_, index) => `e${index}`);
const customers = Array.from({length: 30}, (_, index) => `c${index}`);

test('in a small fleet each gateway claims for itself', () => {
	const {owners} = createOwners('e0', names.slice(0, 4));
	expect(customers.every(customer => owners.isOwner(customer))).toBe(true);
	expect(owners.listOwners('c0')).toEqual([]);
	expect(owners.countClaimers()).toBe(4);
});

test('in a larger fleet each budget has exactly one owner', () => {
	const all = names.map(name => createOwners(name, names).owners);
	expect(customers.map(customer => all.filter(owners => owners.isOwner(customer)).length)).toEqual(customers.map(() => 1));
});

// Guards against a budget that no gateway claims after its owner has failed.
test('the next gateway in the order becomes the owner when the first is no longer up', () => {
	const {fleet, owners} = createOwners('e0', names);
	const [first, second] = owners.listOwners('c0');
	fleet.names = names.filter(name => name !== first);
	fleet.now += 1000;
	expect(owners.listOwners('c0')[0]).toBe(second);
});

// Guards against a gateway that has just started and takes itself for the only one of the fleet.
test('the gateways of a fleet count as known only when no other has been heard of for a time', () => {
	const {fleet, owners} = createOwners('e0', names.slice(0, 1));
	expect(owners.isSettled()).toBe(false);
	fleet.names = names;
	fleet.now += 900;
	expect(owners.isSettled()).toBe(false);
	fleet.now += 900;
	expect(owners.isSettled()).toBe(false);
	fleet.now += 200;
	expect(owners.isSettled()).toBe(true);
});
