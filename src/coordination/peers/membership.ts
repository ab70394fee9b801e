/**
 * Membership and failure detection: one task per peer exchanges heartbeats with
 * it. The peers to contact come from the settings and from the join records of
 * the log; the host list shows which hosts are leaving or gone.
 *
 * All of this is a hint only; the order of the log decides.
 *
 * @module
 */
import Emittery from 'emittery';
import type {EventLog, LogEntry} from '../../protocol/mod.js';
import type {FleetSnapshot, Member} from '../../state/mod.js';
import type {Clock, FleetClient, HostListClient} from '../../transport/mod.js';
import type {RelayedRecords} from '../store/log-follower.js';

/** Load of an upstream daemon, as last reported. */
export type ReportedLoad = {
	readonly running: number;
	readonly queued: number;
	readonly capacity: number;
	readonly isUpstreamAlive: boolean;
};

/** What this daemon knows of a peer. */
export type PeerStatus = {
	readonly address: string;
	/** Empty until the peer has answered once. */
	id: string;
	incarnation: string;
	/** Clock time of the last answer; undefined before the first. */
	seenAt?: number;
	/** Clock time at which the peer was added. */
	readonly knownSince: number;
	isSuspected: boolean;
	isLeaving: boolean;
	nextOffset: number;
	version: number;
	load?: ReportedLoad;
};

/** This daemon, as advertised to peers. */
export type Self = {
	readonly id: string;
	readonly role: 'entry' | 'upstream';
	incarnation: string;
	isLeaving: boolean;
};

/** Options of {@linkcode createMembership}. */
export type CreateMembershipOptions = {
	readonly self: Self;
	readonly fleet: FleetClient;
	readonly clock: Clock;
	readonly events: EventLog;
	/** Addresses of peers to contact before the log has named any. */
	readonly seeds: readonly string[];
	readonly hostList?: HostListClient;
	readonly hostListIntervalMs: number;
	readonly heartbeatIntervalMs: number;
	readonly suspectTimeoutMs: number;
	/** Lists the members that have joined according to the log. */
	readonly listMembers: () => Iterable<Readonly<Member>>;
	readonly getNextOffset: () => number;
};

type MembershipEvents = {
	changed: PeerStatus;
};

/** Tracks the peers of a daemon. */
export type Membership = ReturnType<typeof createMembership>;

const peerSyncIntervalMs = 100;
/** Number of request intervals for which the host list stays valid; it lags anyway, and an answer may be lost. */
const maxHostListAgeIntervals = 10;

/**
 * Creates the membership of a daemon; `run` starts its tasks.
 *
 * @example
 * ```ts
 * void membership.run(signal);
 * membership.isAlive('up-1');
 * ```
 *
 * @param options This daemon and the clients that reach its peers
 * @returns The membership
 */
export function createMembership(options: CreateMembershipOptions) {
	const {
		self, fleet, clock, events, suspectTimeoutMs,
	} = options;
	const emitter = new Emittery<MembershipEvents>();
	const peers = new Map<string, PeerStatus>();
	let hostStates: ReadonlyMap<string, 'live' | 'leaving'> | undefined;
	let hostListRequestedAt = 0;

	function findPeer(id: string): PeerStatus | undefined {
		let found: PeerStatus | undefined;
		for (const peer of peers.values()) {
			// A replaced host answers at a new address; the address that answered last is the current one.
			if (peer.id === id && (peer.seenAt ?? 0) >= (found?.seenAt ?? 0)) {
				found = peer;
			}
		}

		return found;
	}

	function suspectIfOverdue(peer: PeerStatus): void {
		const since = peer.seenAt ?? peer.knownSince;
		if (!peer.isSuspected && clock.now() - since > suspectTimeoutMs) {
			peer.isSuspected = true;
			events.write('peerSuspected', {peer: peer.id, address: peer.address});
			void emitter.emit('changed', peer);
		}
	}

	function recordAnswer(peer: PeerStatus): void {
		peer.seenAt = clock.now();
		if (peer.isSuspected) {
			peer.isSuspected = false;
			events.write('peerBack', {peer: peer.id, address: peer.address});
			void emitter.emit('changed', peer);
		}
	}

	async function exchangeHeartbeat(peer: PeerStatus): Promise<void> {
		const connection = fleet.connect(peer.address);
		const sentAt = clock.now();
		try {
			const answer = await connection.peer.heartbeat({
				from: self.id, incarnation: self.incarnation, role: self.role, leaving: self.isLeaving, nextOffset: options.getNextOffset(),
			}, {timeoutMs: suspectTimeoutMs});
			recordAnswer(peer);
			peer.id = answer.id;
			peer.incarnation = answer.incarnation;
			peer.nextOffset = answer.nextOffset;
			peer.version = answer.version;
			peer.load = answer.load && {
				running: answer.load.running, queued: answer.load.queued, capacity: answer.load.capacity, isUpstreamAlive: answer.load.upstreamAlive,
			};
			if (answer.leaving && !peer.isLeaving) {
				events.write('peerLeaving', {peer: peer.id});
			}

			peer.isLeaving = answer.leaving;
		} catch {
			// A timed-out heartbeat suggests that the connection no longer delivers data; a new connection may work.
			if (clock.now() - sentAt >= suspectTimeoutMs) {
				connection.abandon();
			}
		}
	}

	// One task per peer; it ends once its address is in neither the log nor the settings.
	async function runHeartbeats(peer: PeerStatus, signal: AbortSignal): Promise<void> {
		while (!signal.aborted && peers.get(peer.address) === peer) {
			const overdueTimer = setInterval(() => {
				suspectIfOverdue(peer);
			}, options.heartbeatIntervalMs);
			await exchangeHeartbeat(peer);
			clearInterval(overdueTimer);
			suspectIfOverdue(peer);
			await clock.sleep(options.heartbeatIntervalMs, signal);
		}
	}

	function listPeerAddresses(): Map<string, Readonly<Member> | undefined> {
		const addresses = new Map<string, Readonly<Member> | undefined>(options.seeds.map(seed => [seed, undefined]));
		for (const member of options.listMembers()) {
			// Entry daemons monitor all daemons. Upstream daemons need only entry daemons, as a source of records while the log
			// is unavailable.
			if (member.daemon !== self.id && (self.role === 'entry' || member.role === 'entry')) {
				addresses.set(member.address, member);
			}
		}

		return addresses;
	}

	async function runPeerSync(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const addresses = listPeerAddresses();
			for (const [address, member] of addresses) {
				if (!peers.has(address)) {
					const peer: PeerStatus = {
						address, id: member?.daemon ?? '', incarnation: member?.incarnation ?? '', knownSince: clock.now(),
						isSuspected: false, isLeaving: false, nextOffset: 0, version: 0,
					};
					peers.set(address, peer);
					void runHeartbeats(peer, signal);
				}
			}

			for (const address of peers.keys()) {
				if (!addresses.has(address)) {
					peers.delete(address);
				}
			}

			await clock.sleep(peerSyncIntervalMs, signal);
		}
	}

	async function runHostListPolling(hostList: HostListClient, signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const requestedAt = clock.now();
			const list = await hostList.fetch();
			if (list.ok) {
				hostListRequestedAt = requestedAt;
				hostStates = new Map(list.val.hosts.map(host => [host.id, host.state]));
			}

			await clock.sleep(options.hostListIntervalMs, signal);
		}
	}

	// Ignores an outdated host list. While the host list is unavailable, its last answer may list a host as leaving that
	// has stayed, and lacks hosts added since, so a daemon that is only cut off would be removed.
	function getFreshHostStates(): ReadonlyMap<string, 'live' | 'leaving'> | undefined {
		return clock.now() - hostListRequestedAt <= options.hostListIntervalMs * maxHostListAgeIntervals ? hostStates : undefined;
	}

	async function fetchRecordsFromPeer(peer: PeerStatus, from: number): Promise<RelayedRecords | undefined> {
		try {
			const reply = await fleet.connect(peer.address).peer.records({from}, {timeoutMs: suspectTimeoutMs});
			return {
				entries: reply.records.map(record => JSON.parse(record) as LogEntry),
				snapshot: reply.snapshot ? JSON.parse(reply.snapshot) as FleetSnapshot : undefined,
			};
		} catch {
			return undefined;
		}
	}

	return {
		events: emitter,
		self,
		async run(signal: AbortSignal): Promise<void> {
			const tasks = [runPeerSync(signal)];
			if (options.hostList) {
				tasks.push(runHostListPolling(options.hostList, signal));
			}

			await Promise.all(tasks);
		},

		get: findPeer,
		list: (): PeerStatus[] => [...peers.values()],
		/** Returns whether the peer has answered and is not suspected. */
		isAlive(id: string): boolean {
			const peer = findPeer(id);
			return peer?.seenAt !== undefined && !peer.isSuspected;
		},

		/** Returns whether the peer or the host list reports that it is leaving. */
		isLeaving: (id: string): boolean => Boolean(findPeer(id)?.isLeaving) || getFreshHostStates()?.get(id) === 'leaving',
		/** Returns whether the host list is fresh and does not name the daemon. */
		isMissingFromHostList(id: string): boolean {
			const states = getFreshHostStates();
			return states !== undefined && !states.has(id);
		},

		/** Lists the other entry daemons that have answered and are not suspected. */
		listLiveEntries(members: Iterable<Readonly<Member>>): Member[] {
			return [...members].filter(member => member.role === 'entry' && member.daemon !== self.id
				&& !findPeer(member.daemon)?.isSuspected && findPeer(member.daemon)?.seenAt !== undefined);
		},

		/** Fetches records from the live peer with the highest offset; undefined if none is ahead or the request fails. */
		async fetchRecords(from: number): Promise<RelayedRecords | undefined> {
			const candidates = [...peers.values()].filter(peer => peer.nextOffset > from && !peer.isSuspected && peer.seenAt !== undefined);
			candidates.sort((left, right) => right.nextOffset - left.nextOffset);
			return candidates[0] && fetchRecordsFromPeer(candidates[0], from);
		},
	};
}
