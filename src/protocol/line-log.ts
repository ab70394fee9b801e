/**
 * Structured log of a daemon with one JSON line per event. It never blocks and
 * buffers a limited amount of output.
 *
 * @module
 */
import {eventCatalogue, type EventName} from './event-catalogue.js';
import type {EventLog} from './event-log.js';

/** Destination of the lines: a stream such as standard output. */
export type LineSink = {
	readonly write: (text: string) => boolean;
	/** Bytes that are written but not yet consumed by the reader. */
	readonly writableLength: number;
};

/** Options of {@linkcode createLineLog}. */
export type CreateLineLogOptions = {
	readonly daemon: string;
	readonly sink: LineSink;
	/** Events that are counted but not written; defaults to none. */
	readonly countOnly?: ReadonlySet<EventName>;
};

/** If more bytes than this wait for a slow reader, lines are dropped and counted instead of blocking the daemon. */
const maxBufferedBytes = 262_144;

/**
 * Creates a structured log.
 *
 * @example
 * ```ts
 * createLineLog({daemon: 'entry-1', sink: process.stdout}).write('grantClaimed', {sequence: 3});
 * // {"at":"2026-01-31T08:00:00.000Z","daemon":"entry-1","event":"FL1201","text":"grant claimed","sequence":3}
 * ```
 *
 * @param options The daemon's name, the destination of the lines and the events to count only
 * @returns The log
 */
export function createLineLog(options: CreateLineLogOptions): EventLog {
	const {daemon, sink, countOnly} = options;
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
			if (countOnly?.has(name)) {
				return;
			}

			if (sink.writableLength > maxBufferedBytes) {
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
