import {expect, test} from 'vitest';
import {measureDecision} from '../../../tools/harness/decision-time.js';
import type {GatewayLoad, PeerView} from '../../state/mod.js';
import {
	createConnectionCloseDecision, createRotationDecision, listDomainPeers, shouldMoveCallers, type DomainPeer, type RotationReason,
} from '../mod.js';

const failureDomain = 'z1';
const tickMs = 250;
const idleShares = {processorShare: 0.1, linkShare: 0.1, memoryShare: 0.4};
const busyShares = {...idleShares, linkShare: 0.95};

function listPeers(count: number, peer: Partial<DomainPeer> = {}): DomainPeer[] {
	return Array.from({length: count}, (_, index) => ({
		daemon: `gw-${index + 1}`, busiestShare: 0.1, takesConnections: true, ...peer,
	}));
}

function createFixture(daemon = 'gw-0') {
	const state = {now: 0, reasons: [] as RotationReason[]};
	const rotation = createRotationDecision({
		daemon, failureDomain, clock: {now: () => state.now},
		onChange({reason}) {
			state.reasons.push(reason);
		},
	});
	return {
		state,
		decide(peers: readonly DomainPeer[], shares = busyShares, elapsedMs = tickMs): boolean {
			state.now += elapsedMs;
			rotation.update({shares, peers});
			return rotation.takesConnections();
		},
	};
}

function buildView(daemon: string, load?: Partial<GatewayLoad>): PeerView {
	return {
		daemon, incarnation: 'i', address: '', free: [], uses: [], version: 1, isLeaving: false, hasRoom: true, crashes: [], parts: [], domains: [], limits: [],
		...load && {
			load: {
				...idleShares, takesConnections: true, failureDomain, ...load,
			},
		},
	};
}

test.each([
	['its link is above 0.8', busyShares, false],
	['its processor is above 0.8', {...idleShares, processorShare: 0.81}, false],
	['its memory is above 0.8', {...idleShares, memoryShare: 0.81}, false],
	['nothing is above 0.8', {processorShare: 0.8, linkShare: 0.8, memoryShare: 0.8}, true],
])('a gateway takes no connections while others have room and %s', (_, shares, isTaking) => {
	expect(createFixture().decide(listPeers(7), shares)).toBe(isTaking);
});

// Guards against moving callers to gateways that are busy themselves, after which all of them would leave in turn.
test('a gateway stays in rotation unless the others that take connections use less than 0.6 on average', () => {
	expect(createFixture().decide(listPeers(7, {busiestShare: 0.59}))).toBe(false);
	expect(createFixture().decide(listPeers(7, {busiestShare: 0.61}))).toBe(true);
	expect(createFixture().decide([...listPeers(7, {busiestShare: 0.7}).slice(4), ...listPeers(4, {busiestShare: 0, takesConnections: false})])).toBe(true);
});

// Guards against fewer than half of a domain in rotation, upon which the load balancer uses all, overloaded ones included.
test('at most half of a domain is out of rotation', () => {
	expect(createFixture().decide([...listPeers(4), ...listPeers(7, {takesConnections: false}).slice(4)])).toBe(false);
	expect(createFixture().decide([...listPeers(3), ...listPeers(7, {takesConnections: false}).slice(3)])).toBe(true);
	expect(createFixture().decide(listPeers(1))).toBe(false);
	expect(createFixture().decide([])).toBe(true);
});

// Guards against gateways that become overloaded at the same moment and leave before they hear of each other.
test('overloaded gateways leave and return in one order, so that half of the domain remains', () => {
	const names = ['gw-1', 'gw-2', 'gw-3', 'gw-4', 'gw-5', 'gw-6'];
	const describe = (daemon: string, isOut: boolean): DomainPeer => ({
		daemon, takesConnections: !isOut, busiestShare: names.indexOf(daemon) < 4 ? 0.95 : 0.1,
	});
	const othersOf = (daemon: string, out: readonly string[]) => names.filter(name => name !== daemon).map(name => describe(name, out.includes(name)));
	const fixtures = names.slice(0, 4).map(daemon => ({daemon, ...createFixture(daemon)}));
	const leaving = fixtures.filter(({daemon, decide}) => !decide(othersOf(daemon, []).map(peer => peer.takesConnections && peer.busiestShare! > 0.8 ? peer : {...peer, busiestShare: 0}))).map(({daemon}) => daemon);
	expect(leaving.length).toBeLessThanOrEqual(3);
	expect(leaving.length).toBeGreaterThan(0);

	// None of four has heard of the others when it leaves; when they hear, one returns at once.
	const unheard = names.slice(0, 4).map(daemon => ({daemon, ...createFixture(daemon)}));
	const out = unheard.filter(({decide}) => !decide(listPeers(6).slice(1))).map(({daemon}) => daemon);
	expect(out.length).toBe(4);
	const returned = unheard.filter(({daemon, decide}) => decide(othersOf(daemon, out)));
	expect(returned.map(({state}) => state.reasons.at(-1))).toEqual(['too-few-gateways']);
});

// Guards against a gateway that alternates between both states, and against one that stays out after its load has gone.
test('a gateway returns below 0.5, after 3 s at the earliest', () => {
	const {decide, state} = createFixture();
	expect(decide(listPeers(7))).toBe(false);
	expect(decide(listPeers(7), idleShares, 2900)).toBe(false);
	expect(decide(listPeers(7), {...idleShares, linkShare: 0.55}, 200)).toBe(false);
	expect(decide(listPeers(7), {...idleShares, linkShare: 0.49})).toBe(true);
	expect(state.reasons).toEqual(['overloaded', 'has-room']);
});

// Guards against a gateway that is out for good because its memory does not shrink with its load.
test('memory need only fall below 0.75', () => {
	const {decide} = createFixture();
	expect(decide(listPeers(7), {...idleShares, memoryShare: 0.85})).toBe(false);
	expect(decide(listPeers(7), {...idleShares, memoryShare: 0.76}, 3000)).toBe(false);
	expect(decide(listPeers(7), {...idleShares, memoryShare: 0.74})).toBe(true);
});

// Guards against a gateway that stays out for hours at an idle load because its memory stays just below the limit.
test('a gateway that is out only for memory below 0.8 returns after ten seconds', () => {
	const {decide} = createFixture();
	expect(decide(listPeers(7), {...idleShares, memoryShare: 0.85})).toBe(false);
	expect(decide(listPeers(7), {...idleShares, memoryShare: 0.77}, 9900)).toBe(false);
	expect(decide(listPeers(7), {...idleShares, memoryShare: 0.81}, 200)).toBe(false);
	expect(decide(listPeers(7), {...idleShares, linkShare: 0.6, memoryShare: 0.77})).toBe(false);
	expect(decide(listPeers(7), {...idleShares, memoryShare: 0.77})).toBe(true);
	expect(decide(listPeers(7), {...idleShares, memoryShare: 0.79})).toBe(true);
});

test('a gateway returns once the others have been overloaded for half a second', () => {
	const {decide, state} = createFixture();
	expect(decide(listPeers(7))).toBe(false);
	expect(decide(listPeers(7, {busiestShare: 0.9}))).toBe(false);
	expect(decide(listPeers(7, {busiestShare: 0.7}))).toBe(false);
	expect(decide(listPeers(7, {busiestShare: 0.9}))).toBe(false);
	expect(decide(listPeers(7, {busiestShare: 0.9}))).toBe(false);
	expect(decide(listPeers(7, {busiestShare: 0.9}))).toBe(true);
	expect(state.reasons.at(-1)).toBe('no-room-elsewhere');
});

// Guards against relying on gateways of which nothing reliable is known: a partition, a mixed fleet, a faulty meter.
test.each([
	['silent', () => []],
	['of the earlier version', (daemon: string) => [buildView(daemon)]],
	['of another domain by their own word and not recorded here', (daemon: string) => [buildView(`other-${daemon}`, {failureDomain: 'z2'})]],
	['leaving', (daemon: string) => [{...buildView(daemon, {}), isLeaving: true}]],
	...[Number.NaN, 100.5, -0.1, Number.POSITIVE_INFINITY].map(linkShare => [`advertising a share of ${linkShare}`, (daemon: string) => [buildView(daemon, {linkShare})]] as const),
] as ReadonlyArray<readonly [string, (daemon: string) => PeerView[]]>)('a gateway stays in rotation or returns to it while its peers are %s', (_, listViews) => {
	const members = listPeers(7).map(({daemon}) => daemon);
	const unreliable = listDomainPeers({failureDomain, members, views: members.flatMap(daemon => listViews(daemon))});
	expect(unreliable.length).toBe(7);
	expect(createFixture().decide(unreliable)).toBe(true);

	const {decide, state} = createFixture();
	expect(decide(listDomainPeers({failureDomain, members, views: members.map(daemon => buildView(daemon, {}))}))).toBe(false);
	expect(decide(unreliable)).toBe(true);
	expect(state.reasons.at(-1)).toBe('too-few-gateways');
});

test('gateways of the earlier version count among those of the domain', () => {
	const members = listPeers(7).map(({daemon}) => daemon);
	const listMixed = (withLoad: number) => listDomainPeers({failureDomain, members, views: members.map((daemon, index) => buildView(daemon, index < withLoad ? {} : undefined))});
	expect(createFixture().decide(listMixed(3))).toBe(true);
	expect(createFixture().decide(listMixed(4))).toBe(false);
});

// Guards against closing connections whose callers would reach the same gateway again.
test('connections are closed after two readiness checks without a 200 while the load is high', () => {
	let shares = busyShares;
	const decision = createConnectionCloseDecision({shouldMoveCallers: () => shouldMoveCallers(shares)});
	decision.recordCheck(false);
	expect(decision.shouldClose()).toBe(false);
	decision.recordCheck(false);
	expect(decision.shouldClose()).toBe(true);
	shares = {...busyShares, linkShare: 0.49};
	expect(decision.shouldClose()).toBe(false);
	shares = busyShares;
	decision.recordCheck(true);
	decision.recordCheck(false);
	expect(decision.shouldClose()).toBe(false);
});

// Guards against a decision that delays requests: 90 gateways in three domains.
test('a decision takes less than 50 microseconds at the 99th percentile with 90 gateways', () => {
	const members = listPeers(29).map(({daemon}) => daemon);
	const views = Array.from({length: 89}, (_, index) => buildView(`gw-${index + 1}`, {failureDomain: index < 29 ? failureDomain : 'z2', linkShare: 0.5 + (index / 100)}));
	const {decide} = createFixture();
	const {p99Ms} = measureDecision(index => {
		const peers = listDomainPeers({failureDomain, members, views});
		decide(peers, index % 20 < 10 ? busyShares : idleShares);
	});
	expect(p99Ms).toBeLessThan(0.05);
});
