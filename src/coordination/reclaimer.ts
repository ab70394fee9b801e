/**
 * Ends incarnations that were lost, so that their grants come back.
 *
 * A wrong suspicion does no harm: the ended daemon's grants are refused by
 * every upstream daemon before anyone else gets their rest, and it joins again
 * under a new incarnation.
 *
 * @module
 */
import type {EventLog} from '../protocol/mod.js';
import type {Member} from '../state/mod.js';
import type {Clock} from '../transport/mod.js';
import type {LogFollower} from './log-follower.js';
import type {LogWriter} from './log-writer.js';
import type {Membership} from './membership.js';
import {rankByRendezvous} from './rendezvous.js';

/** Options of {@linkcode createReclaimer}. */
export type CreateReclaimerOptions = {
	readonly follower: LogFollower;
	readonly writer: LogWriter;
	readonly membership: Membership;
	readonly clock: Clock;
	readonly events: EventLog;
	/** True when requests here were short of a budget's tokens of late. */
	readonly isShort: (budget: string) => boolean;
	/** Own grants of which a part is lent to a daemon that the predicate names. */
	readonly findLentTo: (isHolder: (daemon: string, incarnation: string) => boolean) => Iterable<string>;
};

/** Ends lost incarnations. */
export type Reclaimer = ReturnType<typeof createReclaimer>;

const roundPause = 500;
const appendBound = 5000;

/**
 * Creates the reclaimer; `run` is its task.
 *
 * @example
 * ```ts
 * void createReclaimer({follower, writer, membership, clock, events, isShort, findLentTo}).run(signal);
 * ```
 *
 * @param options Log and peers
 * @returns The reclaimer
 */
export function createReclaimer(options: CreateReclaimerOptions) {
	const {
		follower, writer, membership, clock, events,
	} = options;

	// One live entry ends a gone daemon; the log's order keeps a second one harmless. Need is known only where it is felt.
	function isMyTask(lost: string): boolean {
		if (!membership.isGone(lost)) {
			return true;
		}

		const live = membership.listLiveEntries(follower.state().placement.list()).map(member => member.daemon);
		return rankByRendezvous(lost, [...live, membership.self.id])[0] === membership.self.id;
	}

	function isLost(member: Readonly<Member>): boolean {
		const peer = membership.get(member.daemon);
		const isSilent = peer !== undefined && peer.isSuspected && peer.incarnation === member.incarnation;
		// Ending an upstream daemon gives up on receipts it has not appended, so the host list must have lost it too.
		// An entry that is only cut off still serves its callers from its grants; they are taken back when others need them.
		return isSilent && (membership.isGone(member.daemon) || (member.role === 'entry' && isNeeded(member)));
	}

	// What it holds of a budget that is short here: grants of its own, or loans from this daemon.
	function isNeeded(member: Readonly<Member>): boolean {
		const {ledger} = follower.state();
		for (const grant of ledger.listGrants()) {
			if (grant.daemon === member.daemon && grant.incarnation === member.incarnation && options.isShort(grant.budget)) {
				return true;
			}
		}

		for (const id of options.findLentTo((daemon, incarnation) => daemon === member.daemon && incarnation === member.incarnation)) {
			const grant = ledger.findGrant(id);
			if (grant && options.isShort(grant.budget)) {
				return true;
			}
		}

		return false;
	}

	async function endMember(member: Readonly<Member>): Promise<void> {
		const {daemon, incarnation} = member;
		await writer.commit({
			kind: 'leave', daemon, incarnation, graceful: false, by: membership.self.id,
		}, {isFolded: state => !state.placement.isCurrent(daemon, incarnation), signal: AbortSignal.timeout(appendBound)});
		events.write('grantClosed', {holder: daemon, incarnation});
	}

	return {
		async run(signal: AbortSignal): Promise<void> {
			while (!signal.aborted) {
				if (follower.isLogUp()) {
					const lost = [...follower.state().placement.list()].filter(member => member.daemon !== membership.self.id && isLost(member) && isMyTask(member.daemon));
					await Promise.all(lost.map(async member => endMember(member)));
				}

				await clock.sleep(roundPause, signal);
			}
		},
	};
}
