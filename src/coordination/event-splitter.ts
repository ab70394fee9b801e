/**
 * Cuts a server-sent event stream into whole events.
 *
 * @module
 */
import {Buffer} from 'node:buffer';

/** A whole event with its bytes as they came. */
export type StreamEvent = {readonly id: string | undefined; readonly bytes: Uint8Array};

/** Cuts a stream into whole events. */
export type EventSplitter = ReturnType<typeof createEventSplitter>;

const idLine = /^id: ?(?<id>.*)$/m;
const lineFeed = 0x0A;
const carriageReturn = 0x0D;

/** @internal */
function readId(bytes: Uint8Array): string | undefined {
	const text = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString('latin1');
	return idLine.exec(text)?.groups?.id?.trim();
}

/** @internal Finds the end of the first event: an empty line, with or without carriage returns. */
function findEnd(bytes: Uint8Array, from: number): number {
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
 * An engine may stop in the middle of an event. Only whole events are handed
 * on, so that a stream resumed at another engine has no half event in it.
 *
 * @example
 * ```ts
 * const splitter = createEventSplitter();
 * splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda')); // one event
 * splitter.rest().length; // 8
 * ```
 *
 * @returns The splitter
 */
export function createEventSplitter() {
	let rest = Buffer.alloc(0) as Uint8Array;

	return {
		/** Takes bytes and returns the events that they complete. */
		push(chunk: Uint8Array): StreamEvent[] {
			rest = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
			const events: StreamEvent[] = [];
			let end = findEnd(rest, 0);
			while (end !== -1) {
				const bytes = rest.subarray(0, end);
				events.push({id: readId(bytes), bytes});
				rest = rest.subarray(end);
				end = findEnd(rest, 0);
			}

			return events;
		},

		/** Bytes of an event that is not whole yet. */
		rest: (): Uint8Array => rest,
	};
}
