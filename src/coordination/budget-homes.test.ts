import {expect, test} from 'vitest';
import {createBudgetHomes} from './mod.js';

function createHomes(daemon: string, names: readonly string[]) {
	const world = {now: 0, names};
	const homes = createBudgetHomes({clock: {now: () => world.now, sleep: async () => undefined}, daemon, listPeers: () => world.names.filter(name => name !== daemon)});
	return {world, homes};
}

const names = Array.from({length: 9}, (_, index) => `e${index}`);
const customers = Array.from({length: 30}, (_, index) => `c${index}`);

test('in a small fleet each gateway claims for itself', () => {
	const {homes} = createHomes('e0', names.slice(0, 4));
	expect(customers.every(customer => homes.isHome(customer))).toBe(true);
	expect(homes.listHomes('c0')).toEqual([]);
	expect(homes.countClaimers()).toBe(4);
});

test('in a larger fleet each customer has one home', () => {
	const all = names.map(name => createHomes(name, names).homes);
	expect(customers.map(customer => all.filter(homes => homes.isHome(customer)).length)).toEqual(customers.map(() => 1));
});

// Guards against a budget that nobody claims after its home has died.
test('the next gateway is the home when the first is gone', () => {
	const {world, homes} = createHomes('e0', names);
	const [first, second] = homes.listHomes('c0');
	world.names = names.filter(name => name !== first);
	world.now += 1000;
	expect(homes.listHomes('c0')[0]).toBe(second);
});
