/**
 * Decides which gateways are asked for tokens, and for how many.
 *
 * @module
 */
import type {PeerView} from '../../state/mod.js';
import type {Lender} from './token-loan.js';

/** A lender and the tokens that it is asked for. */
export type PlannedAsk = {readonly lender: Lender; readonly needed: number};

/** Lenders of one customer's budget. */
export type RankedLenders = {
	/** The gateways that claim the budget, first the one that is asked first; none if each claims for itself. */
	readonly owners: readonly PeerView[];
	/** Other gateways, most free tokens first. */
	readonly others: readonly PeerView[];
};

/** Options of {@linkcode rankLenders}. */
export type RankLendersOptions = {
	readonly views: readonly PeerView[];
	/** Names of the owners in the order in which they take over the budget. */
	readonly ownerNames: readonly string[];
	/** True for a gateway that recently did not reply in time. */
	readonly isUnresponsive: (daemon: string) => boolean;
};

/** Number of gateways that are asked as owners of a budget; the second lends while the first is unavailable. */
const maxOwnersAsked = 2;
/** Number of other gateways that are asked for free tokens in one search, which limits the messages of a request. */
const maxOthersAsked = 6;

/**
 * Returns the free tokens of a customer that a gateway advertises.
 *
 * @example
 * ```ts
 * countAdvertised('city-1', view); // 1200
 * ```
 *
 * @param customer The customer
 * @param view The gateway
 * @returns The tokens
 */
export function countAdvertised(customer: string, {free}: Pick<PeerView, 'free'>): number {
	return free.find(item => item.customer === customer)?.tokens ?? 0;
}

/**
 * Ranks the gateways that may lend: owners that reply first, then others by the
 * tokens that they advertise. Where each gateway claims for itself, all are listed.
 *
 * @example
 * ```ts
 * rankLenders('city-1', {views, ownerNames: ['e2', 'e3'], isUnresponsive: () => false});
 * ```
 *
 * @param customer The customer
 * @param options The gateways that are presumed to be up
 * @returns The lenders
 */
export function rankLenders(customer: string, {views, ownerNames, isUnresponsive}: RankLendersOptions): RankedLenders {
	if (ownerNames.length === 0) {
		return {owners: [], others: listMostFree(customer, views, views.length)};
	}

	const others = listMostFree(customer, views, maxOthersAsked).filter(view => countAdvertised(customer, view) > 0);
	return {owners: listOwnersToAsk(views, ownerNames, isUnresponsive), others};
}

/**
 * @internal Lists the gateways that advertise most. Sorting all of them takes
 * longer than a decision may with 90 gateways.
 */
function listMostFree(customer: string, views: readonly PeerView[], count: number): PeerView[] {
	const most: Array<{readonly view: PeerView; readonly tokens: number}> = [];
	for (const view of views) {
		const tokens = countAdvertised(customer, view);
		const last = most.at(-1);
		if (last === undefined || most.length < count || tokens > last.tokens) {
			const index = most.findIndex(item => item.tokens < tokens);
			most.splice(index === -1 ? most.length : index, 0, {view, tokens});
			most.splice(count);
		}
	}

	return most.map(({view}) => view);
}

/** @internal Lists the owners to ask, those that reply before those that do not. */
function listOwnersToAsk(views: readonly PeerView[], ownerNames: readonly string[], isUnresponsive: (daemon: string) => boolean): PeerView[] {
	const replying: PeerView[] = [];
	const silent: PeerView[] = [];
	for (const name of ownerNames) {
		const view = views.find(({daemon}) => daemon === name);
		if (view !== undefined) {
			(isUnresponsive(name) ? silent : replying).push(view);
		}

		if (replying.length >= maxOwnersAsked) {
			break;
		}
	}

	return [...replying, ...silent].slice(0, maxOwnersAsked);
}

/**
 * Plans what other gateways are asked for at the same time: each for what it
 * advertises, up to the missing amount.
 *
 * @example
 * ```ts
 * planAsks('city-1', {lenders: others, missing: 900});
 * ```
 *
 * @param customer The customer
 * @param options The gateways in the order in which they are asked, and the tokens that no other call is to deliver
 * @returns The gateways to ask
 */
export function planAsks(customer: string, {lenders, missing}: {readonly lenders: readonly PeerView[]; readonly missing: number}): readonly PlannedAsk[] {
	const asks: PlannedAsk[] = [];
	let rest = missing;
	for (const lender of lenders) {
		const needed = Math.min(Math.floor(countAdvertised(customer, lender)), rest);
		if (needed > 0) {
			asks.push({lender, needed});
			rest -= needed;
		}
	}

	return asks;
}

/**
 * Returns true if the tokens that gateways advertise cover the missing amount.
 * While an owner can claim what is missing, remainders are worth calls only then.
 *
 * @example
 * ```ts
 * hasEnough('city-1', others, 900);
 * ```
 *
 * @param customer The customer
 * @param lenders The gateways
 * @param missing The missing tokens
 * @returns True if they cover it
 */
export function hasEnough(customer: string, lenders: readonly PeerView[], missing: number): boolean {
	let sum = 0;
	for (const lender of lenders) {
		sum += countAdvertised(customer, lender);
	}

	return sum >= missing;
}
