/**
 * The types of failure that callers and operators can receive, and the table
 * that maps each type to its HTTP status, retryability and exit code.
 *
 * @module
 */
import * as z from 'zod';

/** Schema of whether a request ran. `no` also guarantees that it will not run later. */
export const runStatusSchema = z.enum(['no', 'yes', 'unknown']);

/** Whether a request ran. */
export type RunStatus = z.infer<typeof runStatusSchema>;

type FailureRow = {
	/** HTTP status of the answer. */
	readonly status: number;
	readonly title: string;
	/** True if the same request may succeed later. */
	readonly retryable: boolean;
	/** Exit code of the command-line tool. */
	readonly exitCode: number;
};

/** Failure types with their HTTP status, title, retryability and exit code. */
export const failureTable = {

	'malformed-json': {
		status: 400, title: 'The body is not JSON', retryable: false, exitCode: 3,
	},
	'malformed-request': {
		status: 400, title: 'A field of the request cannot be read', retryable: false, exitCode: 3,
	},
	'budget-exhausted': {
		status: 402, title: 'The amount bought does not cover the request', retryable: false, exitCode: 5,
	},
	'unknown-route': {
		status: 404, title: 'No route has this host and path', retryable: false, exitCode: 3,
	},
	'invalid-request': {
		status: 422, title: 'The request breaks the schema', retryable: false, exitCode: 3,
	},
	'body-too-large': {
		status: 413, title: 'The body is too large', retryable: false, exitCode: 3,
	},
	'unknown-key': {
		status: 401, title: 'The key is unknown', retryable: false, exitCode: 4,
	},
	'unknown-model': {
		status: 404, title: 'The model is unknown', retryable: false, exitCode: 3,
	},
	'unknown-service': {
		status: 404, title: 'The service is unknown', retryable: false, exitCode: 3,
	},
	'unknown-object': {
		status: 404, title: 'There is no such object', retryable: false, exitCode: 3,
	},
	'key-reused': {
		status: 422, title: 'The idempotency key belongs to another request body', retryable: false, exitCode: 3,
	},
	'budget-spent': {
		status: 429, title: 'The budget has no tokens left', retryable: true, exitCode: 5,
	},
	'budget-busy': {
		status: 429, title: 'The remaining tokens cannot be used now', retryable: true, exitCode: 5,
	},
	overloaded: {
		status: 503, title: 'Every upstream is busy', retryable: true, exitCode: 6,
	},
	'stream-unresumable': {
		status: 503, title: 'No upstream can continue the stream', retryable: true, exitCode: 6,
	},
	'no-upstream': {
		status: 503, title: 'No upstream for this can be reached', retryable: true, exitCode: 6,
	},
	'deadline-passed': {
		status: 504, title: 'The deadline passed', retryable: true, exitCode: 6,
	},
	'log-unavailable': {
		status: 503, title: 'The log service does not answer', retryable: true, exitCode: 6,
	},
	'outcome-unknown': {
		status: 502, title: 'Whether the request ran is unknown', retryable: false, exitCode: 7,
	},
	'answer-cut': {
		status: 502, title: 'The answer was cut off before its end', retryable: true, exitCode: 7,
	},
	'upstream-refused': {
		status: 502, title: 'The upstream refused the request', retryable: false, exitCode: 6,
	},
	quarantined: {
		status: 502, title: 'Upstreams crash when they run this request', retryable: false, exitCode: 7,
	},
	'prompt-quarantined': {
		status: 503, title: 'Upstreams crash when they answer prompts with one of its parts', retryable: true, exitCode: 7,
	},
	'answer-gone': {
		status: 410, title: 'The request ran and its answer is no longer kept', retryable: false, exitCode: 7,
	},
	'unexpected-error': {
		status: 503, title: 'An unexpected error ended the request before it ran', retryable: true, exitCode: 1,
	},
	leaving: {
		status: 503, title: 'The daemon is stopping', retryable: true, exitCode: 6,
	},
	'not-ready': {
		status: 503, title: 'The daemon has no configuration yet', retryable: true, exitCode: 6,
	},
	'plan-stale': {
		status: 409, title: 'Another change came first', retryable: false, exitCode: 8,
	},
	'plan-refused': {
		status: 422, title: 'The plan breaks a rule', retryable: false, exitCode: 8,
	},
	'grant-closed': {
		status: 503, title: 'The grant is closed', retryable: true, exitCode: 6,
	},
	'settings-invalid': {
		status: 500, title: 'The settings are invalid', retryable: false, exitCode: 2,
	},
	internal: {
		status: 500, title: 'The daemon failed', retryable: true, exitCode: 1,
	},

} as const satisfies Record<string, FailureRow>;

/** The type of a failure. */
export type FailureType = keyof typeof failureTable;

/** A failure as passed between functions; {@linkcode formatProblem} converts it for callers. */
export type Failure = {
	readonly type: FailureType;
	/** Sentence that names the value and the reason. */
	readonly detail: string;
	readonly ran: RunStatus;
	/** Delay before a retry, in milliseconds; undefined if a retry would not help. */
	readonly retryAfterMs?: number;
	/** The upstream incarnation that holds the request, as `daemon/incarnation`. */
	readonly heldBy?: string;
};

/** Options of {@linkcode createFailure}. */
export type CreateFailureOptions = {
	/** Whether the request ran; defaults to `no`. */
	readonly ran?: RunStatus;
	/** Delay before a retry, in milliseconds; defaults to undefined. */
	readonly retryAfterMs?: number;
	/** The upstream incarnation that holds the request; defaults to undefined. */
	readonly heldBy?: string;
};

/**
 * Creates a failure.
 *
 * @example A spent budget
 * ```ts
 * createFailure('budget-spent', 'Budget "b1" has 0 tokens left', {retryAfterMs: 5000});
 * ```
 *
 * @param type The type, a key of {@linkcode failureTable}
 * @param detail Sentence that names the value and the reason
 * @param options Whether the request ran, when to retry and which incarnation holds the request
 * @returns The failure
 */
export function createFailure(type: FailureType, detail: string, options: CreateFailureOptions = {}): Failure {
	return {
		type, detail, ran: options.ran ?? 'no', retryAfterMs: options.retryAfterMs, heldBy: options.heldBy,
	};
}

/**
 * Checks whether a string is a failure type.
 *
 * @example
 * ```ts
 * isFailureType('overloaded'); // true
 * ```
 *
 * @param text The string, for example from another daemon
 * @returns True if it is a key of {@linkcode failureTable}
 */
export function isFailureType(text: string): text is FailureType {
	return Object.hasOwn(failureTable, text);
}

/** Error that carries a failure where a `Result` cannot be returned. */
export class FailureError extends Error {
	override get name() {
		return 'FailureError';
	}

	constructor(readonly failure: Failure) {
		super(`${failure.type}: ${failure.detail}`);
	}
}

/** Schema of an `application/problem+json` body. */
export const problemSchema = z.object({
	type: z.string(),
	title: z.string(),
	status: z.number(),
	detail: z.string(),
	ran: runStatusSchema,
	retryAfterSeconds: z.number().optional(),
});

/** An `application/problem+json` body. */
export type Problem = z.infer<typeof problemSchema>;

const millisecondsPerSecond = 1000;

/**
 * Converts a failure to the `application/problem+json` body sent to callers.
 *
 * @example
 * ```ts
 * formatProblem(createFailure('overloaded', 'All 4 upstreams are full')).status; // 503
 * ```
 *
 * @param failure The failure
 * @returns The problem, whose `type` is a stable URN
 */
export function formatProblem(failure: Failure): Problem {
	const row = failureTable[failure.type];
	const problem: Problem = {
		type: `urn:fireflylane:${failure.type}`,
		title: row.title,
		status: row.status,
		detail: failure.detail,
		ran: failure.ran,
	};
	if (failure.retryAfterMs !== undefined) {
		problem.retryAfterSeconds = Math.max(1, Math.ceil(failure.retryAfterMs / millisecondsPerSecond));
	}

	return problem;
}
