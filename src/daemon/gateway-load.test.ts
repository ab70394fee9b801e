import {expect, test} from 'vitest';
import {createVirtualTime} from '../../tools/measure/virtual-clock.js';
import type {EventLog} from '../protocol/mod.js';
import type {PeerView} from '../state/mod.js';
import {createGatewayLoadControl, type CreateGatewayLoadControlOptions} from './gateway-load.js';

const failureDomain = 'z1';
const peerLoad = {
	processorShare: 0.1, linkShare: 0.1, memoryShare: 0.1, takesConnections: true, failureDomain,
};

/** Creates a control; a capacity of hardly anything is overloaded by whatever this process does. */
function createFixture(capacity: CreateGatewayLoadControlOptions['settings']['capacity'], load: PeerView['load'] = peerLoad) {
	const time = createVirtualTime();
	const written: Array<{readonly event: string; readonly fields: unknown}> = [];
	const state = {
		urgent: 0, isServing: true, isStopping: false, hasDeployment: true, version: 1, limit: Number.POSITIVE_INFINITY, busyShare: 0.2,
	};
	const policies = {
		shouldAccept: (_awaiting: number): boolean => true, shouldClose: undefined as (() => boolean) | undefined, selectRelay: (_awaiting: number): string | undefined => undefined,
	};
	const stopper = new AbortController();
	const control = createGatewayLoadControl({
		settings: {id: 'gw-0', failureDomain, capacity},
		admission: {
			countRoom: () => Number.isFinite(state.limit) ? 0 : state.limit, getLimit: () => state.limit, isLagging: () => false, isOverloaded: () => Number.isFinite(state.limit),
		},
		peerViews: {
			findReceivedAt: () => undefined,
			list: () => [{
				daemon: 'gw-1', incarnation: 'i', address: '', free: [], uses: [], version: 1, isLeaving: false, hasRoom: true, crashes: [], parts: [], domains: [], limits: [], load,
			}],
		},
		gossip: {
			markUrgent() {
				state.urgent += 1;
			},
		},
		listPeers: () => [{
			daemon: 'gw-1', address: '', newsAddress: '', failureDomain,
		}],
		isServing: () => state.isServing,
		isStopping: () => state.isStopping,
		hasDeployment: () => state.hasDeployment,
		getDeploymentVersion: () => state.version,
		loopMeter: {measure: () => undefined, getBusyShare: () => state.busyShare},
		clock: time,
		events: {
			write(event: string, fields: unknown) {
				written.push({event, fields});
			},
		} as unknown as EventLog,
		signal: stopper.signal,
	});
	control.attach({
		countBytes: () => 0,
		listRelayed: () => [],
		resetUnansweredRelays: () => 0,
		setDrainPolicy: () => undefined,
		setRelayPolicy({selectAddress}) {
			policies.selectRelay = selectAddress;
		},
		setAcceptPolicy(policy) {
			policies.shouldAccept = policy;
		},
		setClosePolicy(policy) {
			policies.shouldClose = policy;
		},
	});
	control.run();
	return {
		control, time, state, policies, written, stopper,
	};
}

/** The process uses more than a millionth of a core, and more than a byte. */
const tinyProcessor = {processorCores: 1e-6};
const tinyMemory = {memoryBytes: 1};

// Guards against an overloaded gateway whose readiness, gossip and responses do not follow the decision.
test('an overloaded gateway is not ready, tells its peers and closes connections after two checks', async () => {
	const {control, time, state, policies, written, stopper} = createFixture(tinyMemory);
	expect(control.isReady()).toBe(true);
	expect(control.getLoad()).toBeUndefined();
	await time.runUntil(1500);
	expect(control.listNotReadyReasons()).toEqual(['load']);
	expect(control.getLoad()).toMatchObject({takesConnections: false, failureDomain});
	expect(control.getLoad()!.memoryShare).toBeLessThanOrEqual(100);
	expect(control.listShares().map(({resource}) => resource)).toEqual(['memory']);
	expect(state.urgent).toBeGreaterThan(0);
	control.recordReadinessCheck(control.isReady());
	expect(policies.shouldClose?.()).toBe(false);
	control.recordReadinessCheck(control.isReady());
	expect(policies.shouldClose?.()).toBe(true);
	await time.runUntil(2000);
	expect(written.map(({event}) => event)).toEqual(['rotationChanged', 'connectionCloseChanged']);
	stopper.abort();
});

// Guards against gateways that leave rotation for an eighth of the time although the lag of the event loop shows no shortage.
test('a processor that is full by its own count is told to peers and does not take a gateway out', async () => {
	const {control, time, stopper} = createFixture(tinyProcessor);
	await time.runUntil(5000);
	expect(control.listNotReadyReasons()).toEqual([]);
	expect(control.getLoad()!.processorShare).toBeGreaterThan(1);
	expect(control.getLoad()!.takesConnections).toBe(true);
	stopper.abort();
});

// Guards against new behaviour where the settings name no capacity, or only one that nothing measures.
test.each([undefined, {}, {descriptors: 4100}])('a gateway with the capacity %j advertises no load and stays ready', async capacity => {
	const {control, time, state, policies, written} = createFixture(capacity);
	await time.runUntil(5000);
	control.recordReadinessCheck(false);
	control.recordReadinessCheck(false);
	expect(control.isReady()).toBe(true);
	expect(control.getLoad()).toBeUndefined();
	expect(control.listShares()).toEqual([]);
	expect(policies.shouldClose).toBeUndefined();
	expect(policies.shouldAccept(1000)).toBe(true);
	expect(state.urgent).toBe(0);
	expect(written).toEqual([]);
	state.isServing = false;
	expect(control.listNotReadyReasons()).toEqual(['not-serving']);
});

// Guards against a log line for each measurement of a peer with a faulty meter.
test('an unreadable load of a peer is logged once and keeps the gateway in rotation', async () => {
	const {control, time, written, stopper} = createFixture(tinyMemory, {...peerLoad, linkShare: 101});
	await time.runUntil(5000);
	expect(control.isReady()).toBe(true);
	expect(written.map(({event}) => event)).toEqual(['peerLoadUnreadable']);
	stopper.abort();
});

const offer = {address: '10.0.0.2:7341', spareMillicores: 500};

test('a gateway without room hands connections over to one that offers to take them', () => {
	const {policies, state, stopper} = createFixture({processorCores: 1}, {...peerLoad, handOver: offer});
	expect(policies.selectRelay(0)).toBeUndefined();
	state.limit = 10;
	expect(policies.selectRelay(0)).toBe(offer.address);
	state.isStopping = true;
	expect(policies.selectRelay(0)).toBeUndefined();
	stopper.abort();
});

// Guards against a request that is handled as only an older deployment allows, by a gateway that has not read the newer one.
test('no connection is handed over to a gateway with an older deployment', () => {
	const {policies, state, stopper} = createFixture({processorCores: 1}, {...peerLoad, handOver: offer});
	Object.assign(state, {limit: 10, version: 2});
	expect(policies.selectRelay(0)).toBeUndefined();
	stopper.abort();
});

test('a gateway offers its spare processor time only while it is ready and not overloaded', async () => {
	const {control, state, time, stopper} = createFixture({processorCores: 1_000_000});
	control.setHandOverAddress('10.0.0.1:7341');
	state.busyShare = 0.1;
	await time.runUntil(300);
	expect(control.getLoad()?.handOver).toEqual({address: '10.0.0.1:7341', spareMillicores: 500_000_000});
	state.busyShare = 0.7;
	expect(control.getLoad()?.handOver).toBeUndefined();
	Object.assign(state, {busyShare: 0.2, limit: 10});
	expect(control.getLoad()?.handOver).toBeUndefined();
	Object.assign(state, {limit: Number.POSITIVE_INFINITY, isServing: false});
	expect(control.getLoad()?.handOver).toBeUndefined();
	stopper.abort();
});
