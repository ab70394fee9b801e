/**
 * Sums the traffic that daemons count, from their logs.
 *
 * @module
 */
import * as z from 'zod';
import type {LogLine} from './log-line.js';

/** Bytes of one kind of traffic. */
export type TrafficRow = {
	readonly kind: string;
	/** Bytes that crossed from one failure domain to another. */
	readonly crossDomainBytes: number;
	/** Bytes within a failure domain. */
	readonly localBytes: number;
};

const countedSchema = z.object({
	incarnation: z.string(), kind: z.string(), isCrossDomain: z.boolean(), bytes: z.number().nonnegative(),
});

/**
 * Creates empty totals.
 *
 * @example
 * ```ts
 * const totals = createTrafficTotals();
 * totals.record(line);
 * totals.list(); // [{kind: 'gossip', crossDomainBytes: 900, localBytes: 0}]
 * ```
 *
 * @returns The totals
 */
export function createTrafficTotals() {
	/** Newest count of each incarnation, kind and direction; counts only grow. */
	const counts = new Map<string, z.infer<typeof countedSchema>>();

	return {
		/** Records a line; one whose fields do not match the event is skipped. */
		record({daemon, fields}: LogLine): void {
			const counted = countedSchema.safeParse(fields);
			if (counted.success) {
				const {incarnation, kind, isCrossDomain} = counted.data;
				counts.set(`${daemon}/${incarnation} ${kind} ${isCrossDomain}`, counted.data);
			}
		},

		/** Lists the kinds, those with the most bytes between failure domains first. */
		list(): TrafficRow[] {
			const rows = new Map<string, {-readonly [Field in keyof TrafficRow]: TrafficRow[Field]}>();
			for (const {kind, isCrossDomain, bytes} of counts.values()) {
				const row = rows.get(kind) ?? {kind, crossDomainBytes: 0, localBytes: 0};
				row[isCrossDomain ? 'crossDomainBytes' : 'localBytes'] += bytes;
				rows.set(kind, row);
			}

			return [...rows.values()].sort((left, right) => right.crossDomainBytes - left.crossDomainBytes);
		},
	};
}
