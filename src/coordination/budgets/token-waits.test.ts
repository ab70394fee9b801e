import {expect, test} from 'vitest';
import {createTokenFleet, type TokenFleet, type TokenWait} from '../../../tools/harness/token-fleet.js';
import {pickPercentile} from '../../../tools/measure/report.js';

// A fleet of 31 gateways in virtual time, in which most customers have less than one request per second at each gateway.
// Calls to the log become slow, as they are through relays.

const gateways = 31;
const requestsPerSecond = 200;
const customerCount = 24;
const calmStoreMs = 6;
const slowStoreMs = 40;
const peerMs = 15;
const trafficFromMs = 2000;
const slowFromMs = 6000;
const trafficUntilMs = 14_000;
/** Time after the last request in which every request is served or refused. */
const lastRequestMs = 3000;
const longShare = 0.3;
const longTokens = 9500;
const shortTokens = 1100;
/** Share of the reserved tokens that a request uses. */
const usedShare = 0.9;
const runMs = 800;
/** Demand that the customers have bought, in seconds. */
const boughtSeconds = 18;
const millisecondsPerSecond = 1000;
/** Half of the time in which a short request is to have its first event; the other half is for the upstream. */
const maxWaitMs = 200;
const maxRefusedShare = 0.01;
const seeds = [1, 2, 3, 4];

/** A few customers have most requests. */
function buildCustomers() {
	const weights = Array.from({length: customerCount}, (_, index) => 1 / (index + 1));
	const sum = weights.reduce((total, weight) => total + weight, 0);
	const meanTokens = ((longShare * longTokens) + ((1 - longShare) * shortTokens)) * usedShare;
	return weights.map((weight, index) => ({id: `c${index}`, share: weight / sum, bought: Math.round(weight / sum * requestsPerSecond * meanTokens * boughtSeconds)}));
}

const customers = buildCustomers();

function pickCustomer(random: number): string {
	let rest = random;
	for (const {id, share} of customers) {
		rest -= share;
		if (rest <= 0) {
			return id;
		}
	}

	return customers[0]!.id;
}

function startRequest({random, request}: TokenFleet): void {
	const amount = random() < longShare ? longTokens : shortTokens;
	void request(Math.floor(random() * gateways), {
		customer: pickCustomer(random()), amount, used: amount * usedShare, durationMs: runMs,
	});
}

async function play(seed: number): Promise<readonly TokenWait[]> {
	const fleet = createTokenFleet({gateways, customers, seed});
	fleet.setStoreDelay(calmStoreMs);
	fleet.setPeerDelay(peerMs);
	for (let at = trafficFromMs; at < trafficUntilMs; at += millisecondsPerSecond / requestsPerSecond) {
		await fleet.time.runUntil(at);
		fleet.setStoreDelay(at < slowFromMs ? calmStoreMs : slowStoreMs);
		startRequest(fleet);
	}

	await fleet.time.runUntil(trafficUntilMs + lastRequestMs);
	fleet.stop();
	return fleet.listWaits();
}

test('nine of ten requests get their tokens in time while calls to the log are slow', async () => {
	// Guards against claims that collide because each grant lasts for less than a claim takes.
	const waits: TokenWait[] = [];
	for (const seed of seeds) {
		waits.push(...await play(seed));
	}

	const slow = waits.filter(({at}) => at >= slowFromMs);
	const refused = slow.filter(({isReserved}) => !isReserved);
	expect(slow.length).toBe(seeds.length * requestsPerSecond * (trafficUntilMs - slowFromMs) / millisecondsPerSecond);
	expect(pickPercentile(slow.map(({waitMs}) => waitMs), 90)).toBeLessThanOrEqual(maxWaitMs);
	expect(refused.length / slow.length).toBeLessThanOrEqual(maxRefusedShare);
});
