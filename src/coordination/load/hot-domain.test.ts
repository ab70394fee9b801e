import process from 'node:process';
import {expect, test} from 'vitest';
import {rankByRendezvous} from '../peers/rendezvous.js';
import {
	createConnectionCloseDecision, createLoadMeter, createRotationDecision, listDomainPeers, shouldMoveCallers,
} from '../mod.js';
import type {PeerView} from '../../state/mod.js';

// A virtual fleet of one failure domain: gateways of two sizes, callers that the load balancer spreads by a hash, readiness
// checks once a second. Time advances in steps; bytes beyond a link's capacity wait for it.

const failureDomain = 'z1';
const gatewayCount = 8;
const smallLink = 875_000;
const largeLink = 20 * smallLink;
const requestBytes = 17_000;
const stepMs = 10;
const tickMs = 250;
const checkMs = 1000;
const checksUntilOut = 2;
/** Time between two gossip entries of a gateway in a fleet of 24, and the longest way of an entry that is sent at once. */
const gossip = {entryMs: 500, urgentMs: 150} as const;
const noUse = {
	free: [], uses: [], crashes: [], parts: [], domains: [], limits: [],
} as const;

type Gateway = ReturnType<typeof createGateway>;

function createGateway(index: number, clock: {readonly now: () => number}) {
	const daemon = `gw-${index}`;
	const linkBytesPerSecond = index % 2 === 0 ? smallLink : largeLink;
	const state = {
		receivedBytes: 0, waitingBytes: 0, offeredBytes: 0, failedChecks: 0, isUrgent: false, changes: 0, notReadyMs: 0,
	};
	const views = new Map<string, PeerView>();
	const meter = createLoadMeter({
		capacity: {linkBytesPerSecond}, clock,
		readCounters: () => ({
			processorMs: 0, receivedBytes: state.receivedBytes, sentBytes: 0, residentBytes: 0,
		}),
	});
	const rotation = createRotationDecision({
		daemon, failureDomain, clock,
		onChange() {
			state.isUrgent = true;
			state.changes += 1;
		},
	});
	const close = createConnectionCloseDecision({shouldMoveCallers: () => shouldMoveCallers(meter.getSmoothed())});
	return {
		daemon, linkBytesPerSecond, state, views, rotation, close,
		/** Carries what the link can in one step; the rest waits. */
		carry(): void {
			const bytes = Math.min(state.waitingBytes, linkBytesPerSecond * stepMs / 1000);
			state.waitingBytes -= bytes;
			state.receivedBytes += bytes;
		},
		receive(): void {
			state.waitingBytes += requestBytes;
			state.offeredBytes += requestBytes;
		},
		update(members: readonly string[]): void {
			meter.measure();
			rotation.update({shares: meter.getSmoothed(), peers: listDomainPeers({failureDomain, members, views: [...views.values()]})});
		},
		buildView: (): PeerView => ({
			...noUse, daemon, incarnation: 'i', address: '', version: 1, isLeaving: false, hasRoom: true,
			load: {...meter.getLatest(), takesConnections: rotation.takesConnections(), failureDomain},
		}),
		isInRotation: () => state.failedChecks < checksUntilOut,
	};
}

type Caller = {readonly name: string; readonly intervalMs: number; readonly isKeeping: boolean; dueAt: number; connectedTo: Gateway | undefined};

function createDomain() {
	const state = {now: 0, minInRotation: gatewayCount};
	const gateways = Array.from({length: gatewayCount}, (_, index) => createGateway(index, {now: () => state.now}));
	const names = gateways.map(({daemon}) => daemon);
	const underWay: Array<{readonly at: number; readonly view: PeerView}> = [];
	const callers: Caller[] = [];

	/** Hands a caller to the first gateway of its hash that is in rotation; to any if fewer than half are. */
	function pickGateway(caller: string): Gateway {
		const inRotation = gateways.filter(gateway => gateway.isInRotation());
		const candidates = inRotation.length * 2 < gatewayCount ? gateways : inRotation;
		const [first] = rankByRendezvous(caller, candidates.map(({daemon}) => daemon));
		return gateways.find(({daemon}) => daemon === first)!;
	}

	function sendRequests(): void {
		for (const caller of callers) {
			if (state.now < caller.dueAt) {
				continue;
			}

			caller.dueAt += caller.intervalMs;
			const gateway = caller.connectedTo ?? pickGateway(caller.name);
			gateway.receive();
			caller.connectedTo = caller.isKeeping && !gateway.close.shouldClose() ? gateway : undefined;
		}
	}

	function sendGossip(gateway: Gateway, index: number): void {
		const isDue = (state.now + (index * 60)) % gossip.entryMs === 0;
		if (isDue || gateway.state.isUrgent) {
			gateway.state.isUrgent = false;
			underWay.push({at: state.now + gossip.urgentMs, view: gateway.buildView()});
		}
	}

	function receiveGossip(): void {
		while (underWay.length > 0 && underWay[0]!.at <= state.now) {
			const {view} = underWay.shift()!;
			for (const gateway of gateways) {
				if (gateway.daemon !== view.daemon) {
					gateway.views.set(view.daemon, view);
				}
			}
		}
	}

	// Gateways measure and are checked out of step with each other.
	function step(): void {
		state.now += stepMs;
		sendRequests();
		receiveGossip();
		for (const [index, gateway] of gateways.entries()) {
			gateway.carry();
			if ((state.now + (index * 30)) % tickMs === 0) {
				gateway.update(names.filter(name => name !== gateway.daemon));
			}

			sendGossip(gateway, index);
			if ((state.now + (index * 110)) % checkMs === 0) {
				const isReady = gateway.rotation.takesConnections();
				gateway.close.recordCheck(isReady);
				gateway.state.failedChecks = isReady ? 0 : gateway.state.failedChecks + 1;
			}

			gateway.state.notReadyMs += gateway.rotation.takesConnections() ? 0 : stepMs;
		}

		state.minInRotation = Math.min(state.minInRotation, gateways.filter(gateway => gateway.isInRotation()).length);
	}

	return {
		gateways, state,
		/** Adds callers of a gateway by the load balancer's hash, who together send a number of requests per second. */
		addCallers(gateway: Gateway, requestsPerSecond: number, {isKeeping}: {readonly isKeeping: boolean}): void {
			for (let added = 0, serial = 0; added < requestsPerSecond; serial += 1) {
				const name = `${gateway.daemon}-${isKeeping}-${serial}`;
				if (rankByRendezvous(name, names)[0] === gateway.daemon) {
					added += 1;
					callers.push({
						name, intervalMs: 1000, isKeeping, dueAt: state.now + (added * 1000 / requestsPerSecond), connectedTo: undefined,
					});
				}
			}
		},
		run(durationMs: number): void {
			const endsAt = state.now + durationMs;
			while (state.now < endsAt) {
				step();
			}
		},
	};
}

// Guards against the small gateway whose link its callers saturated for a whole day while others of its domain were idle. Of the
// callers, half keep their connections, which only `connection: close` moves.
test.each([0, 0.5, 1])('the link of a hot gateway falls below its capacity within 5 s if a share of %d of its callers keeps connections', keepingShare => {
	const domain = createDomain();
	const [hot] = domain.gateways as [Gateway];
	for (const gateway of domain.gateways) {
		domain.addCallers(gateway, 4, {isKeeping: true});
	}

	domain.run(3000);
	expect(domain.gateways.every(({state}) => state.changes === 0)).toBe(true);
	const hotRequests = 60;
	domain.addCallers(hot, Math.round(hotRequests * keepingShare), {isKeeping: true});
	domain.addCallers(hot, Math.round(hotRequests * (1 - keepingShare)), {isKeeping: false});
	const perSecond: number[] = [];
	for (let second = 0; second < 25; second += 1) {
		const before = hot.state.offeredBytes;
		domain.run(1000);
		perSecond.push(hot.state.offeredBytes - before);
	}

	expect(perSecond[0]).toBeGreaterThan(smallLink);
	expect(Math.min(...perSecond.slice(0, 5))).toBeLessThan(smallLink / 2);
	// Callers who open a connection for each request come back with the gateway, so only the mean of their load stays below.
	const laterSeconds = perSecond.slice(5);
	expect(laterSeconds.reduce((sum, bytes) => sum + bytes, 0) / laterSeconds.length).toBeLessThan(smallLink);
	expect(domain.state.minInRotation).toBeGreaterThanOrEqual(gatewayCount / 2);
	const {notReadyMs} = hot.state;
	if (process.env.FIREFLYLANE_SHOW_SHARES !== undefined) {
		process.stdout.write(`${JSON.stringify({
			keepingShare, notReadyMs, perSecond: perSecond.map(bytes => Math.round(bytes / 1000)), changes: hot.state.changes, waitingBytes: hot.state.waitingBytes, others: domain.gateways.slice(1).map(({state}) => state.changes), minInRotation: domain.state.minInRotation,
		})}\n`);
	}

	expect(domain.gateways.slice(1).filter(({linkBytesPerSecond}) => linkBytesPerSecond === largeLink).every(({state}) => state.changes === 0)).toBe(true);
});

// Guards against a domain in which every gateway sends its callers to the next.
test('gateways that all become overloaded at once stay ready', () => {
	const domain = createDomain();
	domain.run(3000);
	for (const gateway of domain.gateways) {
		domain.addCallers(gateway, Math.ceil(1.2 * gateway.linkBytesPerSecond / requestBytes), {isKeeping: true});
	}

	domain.run(20_000);
	expect(domain.gateways.map(({state}) => state.changes)).toEqual(Array.from({length: gatewayCount}, () => 0));
	expect(domain.state.minInRotation).toBe(gatewayCount);
});

// Guards against fewer than half of the domain in rotation while the small half is overloaded and the large half has room.
test('at most half of the domain is out of rotation while several gateways are hot', () => {
	const domain = createDomain();
	for (const gateway of domain.gateways.filter(({linkBytesPerSecond}) => linkBytesPerSecond === smallLink)) {
		domain.addCallers(gateway, 60, {isKeeping: false});
	}

	domain.addCallers(domain.gateways[1]!, 1200, {isKeeping: true});
	domain.run(20_000);
	expect(domain.state.minInRotation).toBeGreaterThanOrEqual(gatewayCount / 2);
	expect(domain.gateways.reduce((sum, {state}) => sum + state.changes, 0)).toBeGreaterThan(0);
});
