/**
 * Checks on the frames of an answer.
 *
 * @module
 */
import type {Done, RunFrame} from '../protocol/mod.js';

/** What a connection waits for. */
export type ExpectedFrame = {
	readonly requestId: string;
	readonly attempt: number;
	/** The next chunk's sequence. */
	readonly sequence: number;
};

/** What was received of an answer. */
export type ReceivedAnswer = {
	readonly chunks: number;
	readonly length: number;
	/** Hex SHA-256 over all chunks. */
	readonly digest: string;
};

/**
 * Tells whether a frame belongs to the answer that is waited for.
 *
 * Answers can come late or crossed: a frame of another request, of an attempt
 * that was given up on, or out of its order would put someone else's text into
 * this answer. Each frame names all three, so none of them passes.
 *
 * @example
 * ```ts
 * isWantedFrame(frame, {requestId, attempt, sequence: 3});
 * ```
 *
 * @param frame The frame
 * @param expected What is waited for
 * @returns False when the frame must be dropped
 */
export function isWantedFrame(frame: RunFrame, expected: ExpectedFrame): boolean {
	const isOwn = frame.requestId === expected.requestId && frame.attempt === expected.attempt;
	return isOwn && (frame.body.case !== 'chunk' || frame.sequence === expected.sequence);
}

/**
 * Tells whether an answer is whole.
 *
 * A dropped or truncated frame shows in the count, the length or the digest
 * that the last frame carries.
 *
 * @example
 * ```ts
 * isWholeAnswer(done, {chunks: 3, length: 120, digest});
 * ```
 *
 * @param done The last frame
 * @param received What was received
 * @returns True when nothing is missing or changed
 */
export function isWholeAnswer(done: Done, received: ReceivedAnswer): boolean {
	return done.chunks === received.chunks && done.length === received.length && done.digest === received.digest;
}
