/**
 * Structured log that writes one numbered event per line through `debug`.
 *
 * @module
 */
import createDebug from 'debug';
import {eventCatalogue, type EventName} from './event-catalogue.js';

/** Fields of an event. They must never contain request or response content, or keys. */
export type EventFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Event log of one daemon. */
export type EventLog = {
	readonly write: (name: EventName, fields?: EventFields) => void;
	/** Number of times each event was written. */
	readonly counts: ReadonlyMap<EventName, number>;
};

/**
 * Creates the event log of a daemon.
 *
 * @example
 * ```ts
 * createEventLog('entry-1').write('grantClaimed', {budget: 'b1', amount: 5000});
 * // fireflylane:entry-1 FL1201 grant claimed {"budget":"b1","amount":5000}
 * ```
 *
 * @param daemon The daemon's name
 * @returns The event log
 */
export function createEventLog(daemon: string): EventLog {
	const print = createDebug(`fireflylane:${daemon}`);
	const counts = new Map<EventName, number>();
	return {
		counts,
		write(name, fields = {}) {
			const {number, text} = eventCatalogue[name];
			counts.set(name, (counts.get(name) ?? 0) + 1);
			print('FL%d %s %s', number, text, JSON.stringify(fields));
		},
	};
}
