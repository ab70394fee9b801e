/**
 * Prints the results of commands and sets the exit code.
 *
 * @module
 */
import process from 'node:process';
import {
	failureTable, formatProblem, type Failure, type Result,
} from '../protocol/mod.js';

/** Options of {@linkcode printResult}. */
export type PrintResultOptions<Document> = {
	/** Whether to print one JSON document instead of formatted text. */
	readonly json: boolean;
	/** Formats the document as text. */
	readonly format: (document: Document) => string;
};

/**
 * Prints a result. A failure is printed to the standard error, and the exit
 * code is set to the one listed for its type in docs/ERRORS.md.
 *
 * @example
 * ```ts
 * printResult(status, {json: false, format: document => document.daemon});
 * ```
 *
 * @param result Document received from the daemon, or the failure
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
