import {expect, test} from 'vitest';
import {createTokenFleet} from '../../../tools/harness/token-fleet.js';

const gateways = 24;
const customers = [{id: 'large', bought: 20_000_000}, {id: 'small', bought: 2_000_000}];
const requestTokens = 14_000;
const usedShare = 0.9;
const durationMs = 400;
const slowStoreMs = 250;
const usualStoreMs = 4;
const maxRatio = 1.25;

type Free = Readonly<Record<'large' | 'small', number>>;

/** Returns the share of what is left of each budget that is free at gateways 30 s after the first request. */
async function measureFree({isStoreSlow}: {readonly isStoreSlow: boolean}): Promise<Free> {
	const fleet = createTokenFleet({gateways, customers, seed: 3});
	const {time, random} = fleet;
	async function sendRequests(customer: string, intervalMs: number): Promise<void> {
		while (time.now() < 30_000) {
			void fleet.request(Math.floor(random() * gateways), {
				customer, amount: requestTokens, used: requestTokens * usedShare, durationMs,
			});
			await time.sleep(intervalMs * (0.5 + random()));
		}
	}

	void sendRequests('large', 40);
	void sendRequests('small', 400);
	await time.runUntil(8000);
	fleet.setStoreDelay(isStoreSlow ? slowStoreMs : usualStoreMs);
	await time.runUntil(13_000);
	fleet.setStoreDelay(usualStoreMs);
	const samples: Free[] = [];
	for (let at = 24_000; at <= 30_000; at += 250) {
		await time.runUntil(at);
		const [large, small] = customers.map(({id, bought}) => fleet.countFree(id) / (bought - fleet.countSpent(id)));
		samples.push({large: large!, small: small!});
	}

	fleet.stop();
	const mean = (key: keyof Free) => samples.reduce((sum, sample) => sum + sample[key], 0) / samples.length;
	return {large: mean('large'), small: mean('small')};
}

// Guards against budgets that end early because grants made for a slow store are lost, long after it, with the gateways that hold them.
test('gateways do not hold more free tokens long after the store was slow', async () => {
	const usual = await measureFree({isStoreSlow: false});
	const after = await measureFree({isStoreSlow: true});
	expect(after.large).toBeLessThan(usual.large * maxRatio);
	expect(after.small).toBeLessThan(usual.small * maxRatio);
});
