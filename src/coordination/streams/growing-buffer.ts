/**
 * Collects chunks of bytes in one buffer.
 *
 * @module
 */
import {Buffer} from 'node:buffer';

/** Collects chunks of bytes. */
export type GrowingBuffer = ReturnType<typeof createGrowingBuffer>;

/**
 * Creates an empty buffer. Its capacity doubles, so that appending takes
 * amortised time linear in the chunk, and a chunk that is a view of a larger
 * buffer does not keep it in memory.
 *
 * @example
 * ```ts
 * const buffer = createGrowingBuffer();
 * buffer.append(Buffer.from('ab'));
 * buffer.take(); // the bytes; the buffer is empty again
 * ```
 *
 * @returns The buffer
 */
export function createGrowingBuffer() {
	let storage = Buffer.alloc(0);
	let length = 0;

	return {
		append(chunk: Uint8Array): void {
			const needed = length + chunk.length;
			if (needed > storage.length) {
				const grown = Buffer.allocUnsafeSlow(Math.max(needed, 2 * length));
				storage.copy(grown, 0, 0, length);
				storage = grown;
			}

			storage.set(chunk, length);
			length = needed;
		},

		/** Returns the bytes; valid until the next call of `append`. */
		view: (): Uint8Array => storage.subarray(0, length),

		/** Returns the bytes and empties the buffer. */
		take(): Uint8Array {
			const taken = storage.subarray(0, length);
			storage = Buffer.alloc(0);
			length = 0;
			return taken;
		},

		getLength: () => length,

		/** Returns the number of bytes of memory that the buffer occupies. */
		getCapacity: () => storage.length,
	};
}
