import {expect, test} from 'vitest';
import {createPartQuarantine, createQuarantine} from '../coordination/mod.js';
import type {EventLog} from '../protocol/mod.js';
import {createCrashRegistry, createPartCrashRegistry} from '../state/mod.js';
import {createSystemClock, startHttpServer} from '../transport/mod.js';
import {addQuarantineRoutes} from './quarantine-interface.js';

const events: EventLog = {write: () => undefined, counts: new Map()};

async function startGateway(operatorKey: string) {
	const quarantine = createQuarantine({
		crashRegistry: createCrashRegistry(), daemon: 'g', listPeers: () => [], clock: createSystemClock(), events, onChange: () => undefined, onCrash: () => undefined,
	});
	for (let crash = 0; crash < 3; crash += 1) {
		quarantine.trackRun('d1').recordCrash('u');
	}

	const clock = createSystemClock();
	const partQuarantine = createPartQuarantine({
		registry: createPartCrashRegistry(), clock, events, onChange: () => undefined, onCrash: () => undefined, claimTrial: async () => false,
	});
	for (const upstream of [1, 2, 3, 4, 5]) {
		partQuarantine.merge({
			digest: 'p1', round: 0, trials: 0, crashes: [{upstream, ageMs: upstream * 1000}],
		}, 'peer');
	}

	const server = await startHttpServer({host: '127.0.0.1', port: 0}, service => {
		addQuarantineRoutes(service, {
			operatorKey, quarantine, partQuarantine, events,
		});
	});
	return {server, quarantine, partQuarantine};
}

test('an operator can list quarantined requests and release each of them once', async () => {
	const {server, quarantine} = await startGateway('');
	const listed = await fetch(`${server.url}/v1/quarantine`);
	expect(await listed.json()).toMatchObject({held: [{digest: 'd1', crashes: 3}]});
	const release = async () => fetch(`${server.url}/v1/quarantine/d1`, {method: 'POST'});
	const first = await release();
	const second = await release();
	expect([first.status, second.status]).toEqual([200, 404]);
	expect(quarantine.admit('d1').ok).toBe(true);
	server.closeAllConnections();
});

test('an operator can list and release parts of prompts that are held back', async () => {
	const {server, partQuarantine} = await startGateway('');
	const listed = await fetch(`${server.url}/v1/quarantine`);
	expect(await listed.json()).toMatchObject({heldParts: [{digest: 'p1', crashes: 5, trials: 0}]});
	const released = await fetch(`${server.url}/v1/quarantine/p1`, {method: 'POST'});
	expect(released.status).toBe(200);
	expect(partQuarantine.listHeld()).toEqual([]);
	server.closeAllConnections();
});

test('without the operator key nothing can be listed or released', async () => {
	const {server, quarantine} = await startGateway('secret');
	const listed = await fetch(`${server.url}/v1/quarantine`);
	const released = await fetch(`${server.url}/v1/quarantine/d1`, {method: 'POST', headers: {authorization: 'Bearer wrong'}});
	expect([listed.status, released.status]).toEqual([401, 401]);
	expect(quarantine.admit('d1').ok).toBe(false);
	const allowed = await fetch(`${server.url}/v1/quarantine`, {headers: {authorization: 'Bearer secret'}});
	expect(allowed.status).toBe(200);
	server.closeAllConnections();
});
