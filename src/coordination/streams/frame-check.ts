/**
 * Checks of the frames of an answer.
 *
 * @module
 */
import type {Done, RunFrame} from '../../protocol/mod.js';

/** The frame that a connection expects next. */
export type ExpectedFrame = {
	readonly requestId: string;
	readonly attempt: number;
	/** Sequence number of the next chunk. */
	readonly sequence: number;
};

/** Totals over the received chunks of an answer. */
export type ReceivedAnswer = {
	readonly chunks: number;
	/** Total length of the chunks, in bytes. */
	readonly length: number;
	/** Hexadecimal SHA-256 over all chunks. */
	readonly digest: string;
};

/**
 * Returns whether a frame belongs to the expected answer and is next in order.
 *
 * Frames can arrive late or on the wrong stream. A frame of another request, of
 * an abandoned attempt, or out of sequence would put wrong text into this
 * answer. Each frame carries the request, the attempt and its sequence number,
 * and all three are checked.
 *
 * @example
 * ```ts
 * isExpectedFrame(frame, {requestId, attempt, sequence: 3});
 * ```
 *
 * @param frame The frame
 * @param expected The frame that is expected next
 * @returns False if the frame must be dropped
 */
export function isExpectedFrame(frame: RunFrame, expected: ExpectedFrame): boolean {
	const isSameAttempt = frame.requestId === expected.requestId && frame.attempt === expected.attempt;
	return isSameAttempt && (frame.body.case !== 'chunk' || frame.sequence === expected.sequence);
}

/**
 * Returns whether an answer is complete.
 *
 * A dropped or truncated frame causes a mismatch with the chunk count, length
 * or digest in the last frame.
 *
 * @example
 * ```ts
 * isCompleteAnswer(done, {chunks: 3, length: 120, digest});
 * ```
 *
 * @param done The last frame
 * @param received Totals over the received chunks
 * @returns True if no chunk is missing or altered
 */
export function isCompleteAnswer(done: Done, received: ReceivedAnswer): boolean {
	return done.chunks === received.chunks && done.length === received.length && done.digest === received.digest;
}
