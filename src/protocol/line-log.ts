/**
 * Structured log of a daemon: one JSON line an event, bounded and never
 * blocking.
 *
 * @module
 */
import {eventCatalogue, type EventName} from './event-catalogue.js';
import type {EventLog} from './event-log.js';

/** Where lines go; a stream such as the standard output. */
export type LineSink = {
	readonly write: (text: string) => boolean;
	/** Bytes written and not yet taken by the reader. */
	readonly writableLength: number;
};

/** Options of {@linkcode createLineLog}. */
export type CreateLineLogOptions = {
	readonly daemon: string;
	readonly sink: LineSink;
	/** Events that are counted and not written; default none. */
	readonly silent?: ReadonlySet<EventName>;
};

/** Bytes that may wait for a slow reader; beyond it lines are dropped and counted, so that logging blocks nothing. */
const waitingLimit = 262_144;

/**
 * Creates a structured log.
 *
 * @example
 * ```ts
 * createLineLog({daemon: 'entry-1', sink: process.stdout}).write('grantClaimed', {sequence: 3});
 * // {"at":"2026-01-31T08:00:00.000Z","daemon":"entry-1","event":"FL1201","text":"grant claimed","sequence":3}
 * ```
 *
 * @param options The daemon's name and where lines go
 * @returns The log
 */
export function createLineLog(options: CreateLineLogOptions): EventLog {
	const {daemon, sink, silent} = options;
	const counts = new Map<EventName, number>();
	let dropped = 0;

	function writeLine(name: EventName, fields: Record<string, unknown>): void {
		const {number, text} = eventCatalogue[name];
		sink.write(`${JSON.stringify({
			at: new Date().toISOString(), daemon, event: `FL${number}`, text, ...fields,
		})}\n`);
	}

	return {
		counts,
		write(name, fields = {}) {
			counts.set(name, (counts.get(name) ?? 0) + 1);
			if (silent?.has(name)) {
				return;
			}

			if (sink.writableLength > waitingLimit) {
				dropped += 1;
				return;
			}

			if (dropped > 0) {
				writeLine('linesDropped', {dropped});
				dropped = 0;
			}

			writeLine(name, fields);
		},
	};
}
