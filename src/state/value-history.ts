/**
 * Which values the holders of each key have had, and since when that is known.
 * Shows that a service has had one software version only, or a route one service
 * only, for as long as a stream can have lasted.
 *
 * @module
 */

/** One holder's value: a registered upstream with its version, or a target of a route. */
export type HeldValue = {
	/** What the values are compared under, such as the service. */
	readonly key: string;
	/** Undefined if the holder states none, so that it may have any. */
	readonly value: string | undefined;
};

/** The only value of a key, and since when, in milliseconds of the clock. */
export type OnlyValue = {readonly value: string; readonly since: number};

/** The values that the holders of each key have had. */
export type ValueHistory = ReturnType<typeof createValueHistory>;

type KeyHistory = {
	/** Since when every value of the key has been observed. */
	observedSince: number;
	/** When each former value was last held. */
	readonly lastHeldAt: Map<string | undefined, number>;
};

/** Options of {@linkcode createValueHistory}. */
export type CreateValueHistoryOptions = {
	/** True if nothing can have happened before the history was created; default false. */
	readonly isComplete?: boolean;
};

/** Maximum number of former values of a key; the one longest ago is evicted first. */
const maxFormerValues = 64;

/**
 * Creates an empty history. All times are in milliseconds of one monotonic clock.
 *
 * @example
 * ```ts
 * const history = createValueHistory();
 * history.put('engine-7', {key: 'model', value: 'v1'}, 1000);
 * history.findOnly('model'); // {value: 'v1', since: 1000}
 * ```
 *
 * @param options Whether there was anything before
 * @returns The history
 */
export function createValueHistory({isComplete = false}: CreateValueHistoryOptions = {}) {
	const held = new Map<string, HeldValue>();
	const histories = new Map<string, KeyHistory>();

	// The history is incomplete up to the time of the evicted value.
	function evictOldestValue(history: KeyHistory): void {
		const {lastHeldAt} = history;
		const [oldest] = [...lastHeldAt].sort(([, left], [, right]) => left - right);
		if (oldest && lastHeldAt.size > maxFormerValues) {
			const [value, heldAt] = oldest;
			lastHeldAt.delete(value);
			history.observedSince = Math.max(history.observedSince, heldAt + 1);
		}
	}

	function recordFormerValue({key, value}: HeldValue, now: number): void {
		const history = histories.get(key)!;
		history.lastHeldAt.set(value, now);
		evictOldestValue(history);
	}

	function drop(holder: string, now: number): void {
		const known = held.get(holder);
		if (known) {
			recordFormerValue(known, now);
			held.delete(holder);
		}
	}

	function put(holder: string, value: HeldValue, now: number): void {
		const known = held.get(holder);
		if (known && (known.key !== value.key || known.value !== value.value)) {
			drop(holder, now);
		}

		if (!histories.has(value.key)) {
			histories.set(value.key, {observedSince: isComplete ? Number.NEGATIVE_INFINITY : now, lastHeldAt: new Map()});
		}

		held.set(holder, value);
	}

	function listCurrentValues(key: string): Array<string | undefined> {
		const current = [...held.values()].filter(item => item.key === key).map(({value}) => value);
		return [...new Set(current)];
	}

	function listFormerValues({lastHeldAt}: KeyHistory): Array<string | undefined> {
		return [...lastHeldAt].sort(([, left], [, right]) => right - left).map(([value]) => value);
	}

	// A value was held until its holder was seen to have given it up, so that the next instant is the first without it.
	function computeOnlySince({observedSince, lastHeldAt}: KeyHistory, value: string): number {
		const others = [...lastHeldAt].filter(([other]) => other !== value).map(([, at]) => at + 1);
		return Math.max(observedSince, ...others);
	}

	return {
		put, drop,

		/** Replaces all holders and their values. */
		replace(values: ReadonlyMap<string, HeldValue>, now: number): void {
			for (const holder of held.keys()) {
				if (!values.has(holder)) {
					drop(holder, now);
				}
			}

			for (const [holder, value] of values) {
				put(holder, value, now);
			}
		},

		/** Records that values may have come and gone unnoticed before `now`. */
		restart(now: number): void {
			for (const history of histories.values()) {
				history.observedSince = now;
			}
		},

		/** Returns the value of a key, or its last one, with the time since when it has had no other; undefined if several are held or it is not stated. */
		findOnly(key: string): OnlyValue | undefined {
			const history = histories.get(key);
			if (!history) {
				return undefined;
			}

			const current = listCurrentValues(key);
			const [value] = current.length > 0 ? current : listFormerValues(history);
			return value === undefined || current.length > 1 ? undefined : {value, since: computeOnlySince(history, value)};
		},
	};
}
