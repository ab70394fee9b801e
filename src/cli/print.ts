/**
 * Printing results and setting the exit code.
 *
 * @module
 */
import process from 'node:process';
import {
	failureTable, formatProblem, type Failure, type Result,
} from '../protocol/mod.js';

/** Options of {@linkcode printResult}. */
export type PrintResultOptions<Document> = {
	/** One JSON document instead of text for people. */
	readonly json: boolean;
	/** Formats the document for people. */
	readonly format: (document: Document) => string;
};

/**
 * Prints a result. A failure goes to the standard error and sets the exit code
 * that docs/ERRORS.md gives for its type.
 *
 * @example
 * ```ts
 * printResult(status, {json: false, format: document => document.daemon});
 * ```
 *
 * @param result What the daemon answered
 * @param options How to print it
 */
export function printResult<Document>(result: Result<Document, Failure>, options: PrintResultOptions<Document>): void {
	if (result.ok) {
		process.stdout.write(`${options.json ? JSON.stringify(result.val) : options.format(result.val)}\n`);
		return;
	}

	const failure = result.val;
	const problem = formatProblem(failure);
	process.stderr.write(options.json ? `${JSON.stringify(problem)}\n` : `${problem.title}: ${failure.detail}\n`);
	process.exitCode = failureTable[failure.type].exitCode;
}
