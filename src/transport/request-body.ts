/**
 * Reads the bodies of requests.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {
	Err, Ok, createFailure, type Failure, type Result,
} from '../protocol/mod.js';
import type {ByteHolder} from './byte-limits.js';

/** Options of {@linkcode readBody}. */
export type ReadBodyOptions = {
	/** Ends the collection; what was received until then is dropped. */
	readonly signal?: AbortSignal;
	/** Is set to the number of bytes held for the body. It stays open: the reader closes it once the body is no longer needed. */
	readonly holder?: Pick<ByteHolder, 'set'>;
};

/** Size of the blocks to which bodies are copied. */
const blockBytes = 16_384;
/** Blocks that are kept for later bodies. */
const maxFreeBlocks = 256;
const freeBlocks: Uint8Array[] = [];

/** Collects the pieces of a body. */
export type BodyBuffer = ReturnType<typeof createBodyBuffer>;

/**
 * Creates a buffer for the pieces of a body.
 *
 * Pieces are copied to blocks, so that a body in pieces of one byte takes as
 * much memory as one in a single piece. The blocks are used again: the garbage of
 * many bodies that are dropped while they arrive would else exceed the memory of
 * a small host before it is collected.
 *
 * @example
 * ```ts
 * const buffer = createBodyBuffer();
 * buffer.append(chunk);
 * const body = buffer.take();
 * ```
 *
 * @returns The buffer
 */
export function createBodyBuffer() {
	/** The only piece, which is not copied: most bodies arrive in one. */
	let single: Uint8Array | undefined;
	let blocks: Uint8Array[] = [];
	let size = 0;

	function copy(piece: Uint8Array): void {
		for (let copied = 0; copied < piece.length;) {
			const offset = size % blockBytes;
			if (offset === 0) {
				blocks.push(freeBlocks.pop() ?? Buffer.allocUnsafeSlow(blockBytes));
			}

			const part = piece.subarray(copied, copied + blockBytes - offset);
			blocks.at(-1)!.set(part, offset);
			copied += part.length;
			size += part.length;
		}
	}

	function drop(): void {
		freeBlocks.push(...blocks.slice(0, Math.max(0, maxFreeBlocks - freeBlocks.length)));
		blocks = [];
		single = undefined;
		size = 0;
	}

	return {
		append(piece: Uint8Array): void {
			if (size === 0) {
				single = piece;
				size = piece.length;
				return;
			}

			if (single) {
				const first = single;
				single = undefined;
				size = 0;
				copy(first);
			}

			copy(piece);
		},

		/** Returns the number of bytes appended. */
		getSize: (): number => size,
		/** Returns the number of bytes held. */
		countHeld: (): number => single?.length ?? blocks.length * blockBytes,

		/** Returns the body and empties the buffer. */
		take(): Uint8Array {
			const body = single ?? Buffer.concat(blocks, size);
			drop();
			return body;
		},

		/** Empties the buffer. */
		drop,
	};
}

/**
 * Returns the length that a request states for its body.
 *
 * @example
 * ```ts
 * readDeclaredBytes(request); // 4096
 * ```
 *
 * @param request The request
 * @returns The length in bytes; 0 if none is stated
 */
export function readDeclaredBytes({headers}: Pick<IncomingMessage, 'headers'>): number {
	return Number(headers['content-length'] ?? 0);
}

/** @internal */
function createTooLarge(bytes: number, maxBytes: number): Failure {
	return createFailure('body-too-large', `The request body has ${bytes} bytes or more, the limit is ${maxBytes}`);
}

/**
 * Reads the body of a request.
 *
 * An oversized body is refused as soon as its size is known. The remainder of a
 * body that is not collected is discarded as it arrives, so that the caller
 * receives the response instead of a connection reset.
 *
 * @example
 * ```ts
 * const body = await readBody(request, 1_048_576);
 * ```
 *
 * @param request The request
 * @param maxBytes Maximum size of the body
 * @param options Ends the collection early, and the account of its bytes
 * @returns The bytes; `body-too-large`; or `overloaded` if the collection was ended
 * @throws If the connection breaks before the end of the body
 */
export async function readBody(request: IncomingMessage, maxBytes: number, {signal, holder}: ReadBodyOptions = {}): Promise<Result<Uint8Array, Failure>> {
	const declaredBytes = readDeclaredBytes(request);
	if (declaredBytes > maxBytes) {
		request.resume();
		return Err(createTooLarge(declaredBytes, maxBytes));
	}

	if (request.readableEnded) {
		return Ok(new Uint8Array());
	}

	return new Promise((resolve, reject) => {
		const buffer = createBodyBuffer();

		function finish(settle: () => void): void {
			request.off('data', collect);
			request.off('end', complete);
			request.off('error', fail);
			request.off('close', failClosed);
			signal?.removeEventListener('abort', abandon);
			settle();
		}

		function discard(failure: Failure): void {
			finish(() => {
				resolve(Err(failure));
			});
			buffer.drop();
			holder?.set(0);
			request.resume();
		}

		function collect(piece: Uint8Array): void {
			const bytes = buffer.getSize() + piece.length;
			if (bytes > maxBytes) {
				discard(createTooLarge(bytes, maxBytes));
				return;
			}

			buffer.append(piece);
			holder?.set(buffer.countHeld());
		}

		function complete(): void {
			finish(() => {
				resolve(Ok(buffer.take()));
			});
		}

		function fail(error: Error): void {
			buffer.drop();
			finish(() => {
				reject(error);
			});
		}

		function failClosed(): void {
			fail(new Error('The connection closed before the end of the body'));
		}

		function abandon(): void {
			discard(createFailure('overloaded', 'The body was not read to its end'));
		}

		request.on('data', collect);
		request.once('end', complete);
		request.once('error', fail);
		request.once('close', failClosed);
		signal?.addEventListener('abort', abandon);
		if (signal?.aborted) {
			abandon();
		}
	});
}
