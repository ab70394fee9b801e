/**
 * When a caller whom a stopping gateway refuses can be served again.
 *
 * @module
 */
import type {PeerView} from '../state/mod.js';
import type {Clock} from '../transport/mod.js';

/** Options of {@linkcode createReturnForecast}. */
export type CreateReturnForecastOptions = {
	readonly clock: Clock;
	/** Longest stop of a gateway, in milliseconds. */
	readonly findStopSpan: () => number;
};

/** Says when callers can come back. */
export type ReturnForecast = ReturnType<typeof createReturnForecast>;

/** While another gateway takes requests, in milliseconds: a new connection goes there. */
const elsewhere = 100;
/** From the end of a gateway's process until its next one serves, in milliseconds; 1.1 s was seen, most of it before the start. */
const startSpan = 1200;

/**
 * Creates a forecast that knows no other gateway.
 *
 * Callers come back once or twice, so one that is told to come back too early
 * is lost: while all gateways are replaced at once, the next to serve is the
 * one whose stop began first.
 *
 * @example
 * ```ts
 * forecast.note(view);
 * forecast.estimate(views.list(), {ownLeft: 4800});
 * ```
 *
 * @param options The clock, and how long stops take
 * @returns The forecast
 */
export function createReturnForecast({clock, findStopSpan}: CreateReturnForecastOptions) {
	const stops = new Map<string, {readonly incarnation: string; readonly since: number}>();

	// One that answers no more has ended, and its next process is on its way.
	function estimatePeer(since: number, isAnswering: boolean): number {
		return isAnswering ? Math.max(0, since + findStopSpan() - clock.now()) + startSpan : startSpan;
	}

	// A gateway that was taken away for good does not come back: nobody waits for it longer than for one that does.
	function dropOld(): void {
		for (const [daemon, {since}] of stops) {
			if (clock.now() - since > findStopSpan() + (2 * startSpan)) {
				stops.delete(daemon);
			}
		}
	}

	return {
		/** Takes what a gateway says of itself. */
		note({daemon, incarnation, isLeaving}: PeerView): void {
			if (!isLeaving) {
				stops.delete(daemon);
			} else if (stops.get(daemon)?.incarnation !== incarnation) {
				stops.set(daemon, {incarnation, since: clock.now()});
			}
		},

		/** Milliseconds until a gateway takes requests, by the views of those that answer and what is left of the own stop. */
		estimate(views: readonly PeerView[], {ownLeft}: {readonly ownLeft: number}): number {
			if (views.some(({isLeaving}) => !isLeaving)) {
				return elsewhere;
			}

			dropOld();
			const answering = new Set(views.map(({daemon}) => daemon));
			const peers = [...stops].map(([daemon, {since}]) => estimatePeer(since, answering.has(daemon)));
			return Math.min(ownLeft + startSpan, ...peers);
		},
	};
}
