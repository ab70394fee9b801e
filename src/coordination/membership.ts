/**
 * Who is there: one task for each peer exchanges heartbeats with it; the host
 * list and the log's joins tell which peers to try.
 *
 * All of it is a hint. What counts is decided by the log's order.
 *
 * @module
 */
import Emittery from 'emittery';
import type {EventLog, LogEntry} from '../protocol/mod.js';
import type {FleetSnapshot, Member} from '../state/mod.js';
import type {Clock, FleetClient, HostListClient} from '../transport/mod.js';
import type {RelayedRecords} from './log-follower.js';

/** An upstream daemon's load as last heard. */
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
	/** Clock of the last answer; undefined before the first. */
	seenAt?: number;
	/** Clock of the first look at this peer. */
	readonly knownSince: number;
	isSuspected: boolean;
	isLeaving: boolean;
	nextOffset: number;
	version: number;
	load?: ReportedLoad;
};

/** This daemon, as told to peers. */
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
	/** Addresses to ask before the log has named any. */
	readonly seeds: readonly string[];
	readonly hostList?: HostListClient;
	readonly hostListEvery: number;
	readonly heartbeatEvery: number;
	readonly suspectAfter: number;
	/** The members that the log names. */
	readonly listMembers: () => Iterable<Readonly<Member>>;
	readonly countNext: () => number;
};

type MembershipEvents = {
	changed: PeerStatus;
};

/** Who is there. */
export type Membership = ReturnType<typeof createMembership>;

const rosterPause = 100;
/** What the host list said counts for so many of its pauses; it lags anyway, and one answer may be lost. */
const hostListLife = 10;

/**
 * Creates the membership of a daemon; `run` starts its tasks.
 *
 * @example
 * ```ts
 * void membership.run(signal);
 * membership.isAlive('up-1');
 * ```
 *
 * @param options This daemon and the ways to its peers
 * @returns The membership
 */
export function createMembership(options: CreateMembershipOptions) {
	const {
		self, fleet, clock, events, suspectAfter,
	} = options;
	const emitter = new Emittery<MembershipEvents>();
	const peers = new Map<string, PeerStatus>();
	let hostStates: ReadonlyMap<string, 'live' | 'leaving'> | undefined;
	let hostsAskedAt = 0;

	function findPeer(id: string): PeerStatus | undefined {
		let found: PeerStatus | undefined;
		for (const peer of peers.values()) {
			// A replaced host answers under a new address; the one heard last is the daemon.
			if (peer.id === id && (peer.seenAt ?? 0) >= (found?.seenAt ?? 0)) {
				found = peer;
			}
		}

		return found;
	}

	function noteSilence(peer: PeerStatus): void {
		const since = peer.seenAt ?? peer.knownSince;
		if (!peer.isSuspected && clock.now() - since > suspectAfter) {
			peer.isSuspected = true;
			events.write('peerSuspected', {peer: peer.id, address: peer.address});
			void emitter.emit('changed', peer);
		}
	}

	function noteAnswer(peer: PeerStatus): void {
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
				from: self.id, incarnation: self.incarnation, role: self.role, leaving: self.isLeaving, nextOffset: options.countNext(),
			}, {timeoutMs: suspectAfter});
			noteAnswer(peer);
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
			// A heartbeat that hung for the whole bound means a silent connection: new ones may work.
			if (clock.now() - sentAt >= suspectAfter) {
				connection.abandon();
			}
		}
	}

	// One task for each peer; it ends when neither the log nor the settings name the address any more.
	async function followPeer(peer: PeerStatus, signal: AbortSignal): Promise<void> {
		while (!signal.aborted && peers.get(peer.address) === peer) {
			const watch = setInterval(() => {
				noteSilence(peer);
			}, options.heartbeatEvery);
			await exchangeHeartbeat(peer);
			clearInterval(watch);
			noteSilence(peer);
			await clock.sleep(options.heartbeatEvery, signal);
		}
	}

	function listAddresses(): Map<string, Readonly<Member> | undefined> {
		const addresses = new Map<string, Readonly<Member> | undefined>(options.seeds.map(seed => [seed, undefined]));
		for (const member of options.listMembers()) {
			// Entries watch everybody; upstream daemons need only entries, for records while the log is away.
			if (member.daemon !== self.id && (self.role === 'entry' || member.role === 'entry')) {
				addresses.set(member.address, member);
			}
		}

		return addresses;
	}

	async function runRoster(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const addresses = listAddresses();
			for (const [address, member] of addresses) {
				if (!peers.has(address)) {
					const peer: PeerStatus = {
						address, id: member?.daemon ?? '', incarnation: member?.incarnation ?? '', knownSince: clock.now(),
						isSuspected: false, isLeaving: false, nextOffset: 0, version: 0,
					};
					peers.set(address, peer);
					void followPeer(peer, signal);
				}
			}

			for (const address of peers.keys()) {
				if (!addresses.has(address)) {
					peers.delete(address);
				}
			}

			await clock.sleep(rosterPause, signal);
		}
	}

	async function runHostList(hostList: HostListClient, signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const askedAt = clock.now();
			const list = await hostList.fetch();
			if (list.ok) {
				hostsAskedAt = askedAt;
				hostStates = new Map(list.val.hosts.map(host => [host.id, host.state]));
			}

			await clock.sleep(options.hostListEvery, signal);
		}
	}

	// Guards against a host list that is away: its last answer says that a host is leaving which has stayed, and lacks
	// those that came since, so a daemon that is only cut off would be ended.
	function findHostStates(): ReadonlyMap<string, 'live' | 'leaving'> | undefined {
		return clock.now() - hostsAskedAt <= options.hostListEvery * hostListLife ? hostStates : undefined;
	}

	async function fetchFrom(peer: PeerStatus, from: number): Promise<RelayedRecords | undefined> {
		try {
			const reply = await fleet.connect(peer.address).peer.records({from}, {timeoutMs: suspectAfter});
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
			const tasks = [runRoster(signal)];
			if (options.hostList) {
				tasks.push(runHostList(options.hostList, signal));
			}

			await Promise.all(tasks);
		},

		get: findPeer,
		list: (): PeerStatus[] => [...peers.values()],
		/** True when the peer answered lately. */
		isAlive(id: string): boolean {
			const peer = findPeer(id);
			return peer?.seenAt !== undefined && !peer.isSuspected;
		},

		/** True when the peer, its host, or both said that it is leaving. */
		isLeaving: (id: string): boolean => Boolean(findPeer(id)?.isLeaving) || findHostStates()?.get(id) === 'leaving',
		/** True when the host list answered lately and does not name the daemon. */
		isGone(id: string): boolean {
			const states = findHostStates();
			return states !== undefined && !states.has(id);
		},

		listLiveEntries(members: Iterable<Readonly<Member>>): Member[] {
			return [...members].filter(member => member.role === 'entry' && member.daemon !== self.id
				&& !findPeer(member.daemon)?.isSuspected && findPeer(member.daemon)?.seenAt !== undefined);
		},

		/** Asks the peer that is furthest ahead for records. */
		async fetchRecords(from: number): Promise<RelayedRecords | undefined> {
			const ahead = [...peers.values()].filter(peer => peer.nextOffset > from && !peer.isSuspected && peer.seenAt !== undefined);
			ahead.sort((left, right) => right.nextOffset - left.nextOffset);
			return ahead[0] && fetchFrom(ahead[0], from);
		},
	};
}
