/**
 * Splits a stream of server-sent events into complete events.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {createGrowingBuffer} from './growing-buffer.js';

/** A complete event with its unmodified bytes. */
export type StreamEvent = {readonly id: string | undefined; readonly bytes: Uint8Array};

/** Splits a stream into complete events. */
export type EventSplitter = ReturnType<typeof createEventSplitter>;

const idPattern = /^id: ?(?<id>.*)$/m;
const lineFeed = 0x0A;
const carriageReturn = 0x0D;
/** The line end before an empty line that a later chunk completes: a line feed and possibly a carriage return. */
const lineEndLength = 2;

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
	const remainder = createGrowingBuffer();

	return {
		/** Adds bytes and returns the events that they complete. */
		push(chunk: Uint8Array): StreamEvent[] {
			// The bytes before were searched when they were added.
			const from = Math.max(0, remainder.getLength() - lineEndLength);
			let bytes = chunk;
			if (remainder.getLength() > 0) {
				remainder.append(chunk);
				bytes = remainder.view();
			}

			let end = findEventEnd(bytes, from);
			if (end === -1) {
				if (remainder.getLength() === 0) {
					remainder.append(chunk);
				}

				return [];
			}

			// The events refer to the bytes, so the remainder moves to a buffer of its own.
			remainder.take();
			const events: StreamEvent[] = [];
			let start = 0;
			for (; end !== -1; end = findEventEnd(bytes, start)) {
				const event = bytes.subarray(start, end);
				events.push({id: parseEventId(event), bytes: event});
				start = end;
			}

			remainder.append(bytes.subarray(start));
			return events;
		},

		/** Returns the bytes of the last, incomplete event; valid until the next call of `push`. */
		getRemainder: (): Uint8Array => remainder.view(),

		/** Returns the number of bytes of memory that the incomplete event occupies. */
		getHeldBytes: () => remainder.getCapacity(),
	};
}
