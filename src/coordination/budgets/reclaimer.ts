/**
 * Ends incarnations that are presumed failed, so that their grants can be
 * reclaimed.
 *
 * A false suspicion does no harm. Every upstream daemon refuses the ended
 * daemon's grants before another daemon gets their remaining tokens, and the
 * ended daemon joins again under a new incarnation.
 *
 * @module
 */
import type {EventLog} from '../../protocol/mod.js';
import type {Member} from '../../state/mod.js';
import type {Clock} from '../../transport/mod.js';
import type {LogFollower} from '../store/log-follower.js';
import type {LogWriter} from '../store/log-writer.js';
import type {Membership} from '../peers/membership.js';
import {rankByRendezvous} from '../peers/rendezvous.js';

/** Options of {@linkcode createReclaimer}. */
export type CreateReclaimerOptions = {
	readonly follower: LogFollower;
	readonly writer: LogWriter;
	readonly membership: Membership;
	readonly clock: Clock;
	readonly events: EventLog;
	/** Returns true if a request at this daemon recently lacked tokens of the budget. */
	readonly wasInsufficient: (budget: string) => boolean;
	/** Returns the own grants that are partly lent to an incarnation that matches the predicate. */
	readonly findLentTo: (isHolder: (daemon: string, incarnation: string) => boolean) => Iterable<string>;
};

/** Ends incarnations that are presumed failed. */
export type Reclaimer = ReturnType<typeof createReclaimer>;

const roundIntervalMs = 500;
const appendTimeoutMs = 5000;

/**
 * Creates a reclaimer; `run` operates it until the signal is aborted.
 *
 * @example
 * ```ts
 * void createReclaimer({follower, writer, membership, clock, events, wasInsufficient, findLentTo}).run(signal);
 * ```
 *
 * @param options Log and peers
 * @returns The reclaimer
 */
export function createReclaimer(options: CreateReclaimerOptions) {
	const {
		follower, writer, membership, clock, events,
	} = options;

	// A daemon that is gone from the host list is ended by one live entry daemon; if a second one tries too, the order of the
	// log makes that harmless. A daemon that is only suspected is ended by any daemon that needs its tokens.
	function isResponsible(daemon: string): boolean {
		if (!membership.isMissingFromHostList(daemon)) {
			return true;
		}

		const live = membership.listLiveEntries(follower.state().placement.list()).map(member => member.daemon);
		return rankByRendezvous(daemon, [...live, membership.self.id])[0] === membership.self.id;
	}

	function isPresumedFailed(member: Readonly<Member>): boolean {
		const peer = membership.get(member.daemon);
		const isUnresponsive = peer !== undefined && peer.isSuspected && peer.incarnation === member.incarnation;
		// Ending an upstream daemon abandons receipts that it has not appended, so it must be gone from the host list too. An
		// entry daemon that is only cut off still serves callers from its grants, which are reclaimed when others need them.
		return isUnresponsive && (membership.isMissingFromHostList(member.daemon) || (member.role === 'entry' && hasNeededTokens(member)));
	}

	// Returns true if the member holds tokens that this daemon lacks, in grants of its own or in loans from this daemon.
	function hasNeededTokens(member: Readonly<Member>): boolean {
		const {ledger} = follower.state();
		for (const grant of ledger.listGrants()) {
			if (grant.daemon === member.daemon && grant.incarnation === member.incarnation && options.wasInsufficient(grant.budget)) {
				return true;
			}
		}

		for (const id of options.findLentTo((daemon, incarnation) => daemon === member.daemon && incarnation === member.incarnation)) {
			const grant = ledger.findGrant(id);
			if (grant && options.wasInsufficient(grant.budget)) {
				return true;
			}
		}

		return false;
	}

	async function endMember(member: Readonly<Member>): Promise<void> {
		const {daemon, incarnation} = member;
		await writer.commit({
			kind: 'leave', daemon, incarnation, graceful: false, by: membership.self.id,
		}, {isFolded: state => !state.placement.isCurrent(daemon, incarnation), signal: AbortSignal.timeout(appendTimeoutMs)});
		events.write('grantClosed', {holder: daemon, incarnation});
	}

	return {
		async run(signal: AbortSignal): Promise<void> {
			while (!signal.aborted) {
				if (follower.isLogUp()) {
					const failedMembers = [...follower.state().placement.list()].filter(member => member.daemon !== membership.self.id && isPresumedFailed(member) && isResponsible(member.daemon));
					await Promise.all(failedMembers.map(async member => endMember(member)));
				}

				await clock.sleep(roundIntervalMs, signal);
			}
		},
	};
}
