/**
 * Splits a stream of server-sent events into complete events.
 *
 * @module
 */
import {Buffer} from 'node:buffer';

/** A complete event with its unmodified bytes. */
export type StreamEvent = {readonly id: string | undefined; readonly bytes: Uint8Array};

/** Splits a stream into complete events. */
export type EventSplitter = ReturnType<typeof createEventSplitter>;

const idPattern = /^id: ?(?<id>.*)$/m;
const lineFeed = 0x0A;
const carriageReturn = 0x0D;

/** @internal */
function parseEventId(bytes: Uint8Array): string | undefined {
	const text = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString('latin1');
	return idPattern.exec(text)?.groups?.id?.trim();
}

/** @internal Returns the index after the first event, which an empty line ends, with or without carriage returns, or -1. */
function findEventEnd(bytes: Uint8Array, from: number): number {
	for (let index = bytes.indexOf(lineFeed, from); index !== -1; index = bytes.indexOf(lineFeed, index + 1)) {
		const next = bytes[index + 1] === carriageReturn ? index + 2 : index + 1;
		if (bytes[next] === lineFeed) {
			return next + 1;
		}
	}

	return -1;
}

/**
 * Creates a splitter.
 *
 * An engine may stop in the middle of an event. Only complete events are
 * returned, so that a stream resumed at another engine contains no partial one.
 *
 * @example
 * ```ts
 * const splitter = createEventSplitter();
 * splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda')); // one event
 * splitter.getRemainder().length; // 8
 * ```
 *
 * @returns The splitter
 */
export function createEventSplitter() {
	let remainder = Buffer.alloc(0) as Uint8Array;

	return {
		/** Adds bytes and returns the events that they complete. */
		push(chunk: Uint8Array): StreamEvent[] {
			remainder = remainder.length === 0 ? chunk : Buffer.concat([remainder, chunk]);
			const events: StreamEvent[] = [];
			let end = findEventEnd(remainder, 0);
			while (end !== -1) {
				const bytes = remainder.subarray(0, end);
				events.push({id: parseEventId(bytes), bytes});
				remainder = remainder.subarray(end);
				end = findEventEnd(remainder, 0);
			}

			return events;
		},

		/** Returns the bytes of the last, incomplete event. */
		getRemainder: (): Uint8Array => remainder,
	};
}
