/**
 * The command line's way to a daemon's operators' interface.
 *
 * @module
 */
import {Agent, request} from 'undici';
import {
	Err, Ok, createFailure, isFailureType, problemSchema, type Failure, type Problem, type Result,
} from '../protocol/mod.js';

/** Where a daemon answers operators, and with what key. */
export type OperatorTarget = {
	readonly url: string;
	readonly key: string;
	/** Who asks, for the record of a plan. */
	readonly operator: string;
};

const timeout = 20_000;
const okStatus = 200;
const urnPrefix = 'urn:fireflylane:';

/** @internal */
function readProblem(problem: Problem): Failure {
	const type = problem.type.slice(urnPrefix.length);
	const retryAfterMs = problem.retryAfterSeconds === undefined ? undefined : problem.retryAfterSeconds * 1000;
	return createFailure(isFailureType(type) ? type : 'internal', problem.detail, {ran: problem.ran, retryAfterMs});
}

/**
 * Asks a daemon.
 *
 * @example
 * ```ts
 * const status = await askDaemon<Status>(target, '/v1/status');
 * ```
 *
 * @param target The daemon
 * @param path The path
 * @param body What to post; default nothing, a get
 * @returns The document, or the failure
 */
export async function askDaemon<Document>(target: OperatorTarget, path: string, body?: unknown): Promise<Result<Document, Failure>> {
	const dispatcher = new Agent();
	try {
		const answer = await request(`${target.url}${path}`, {
			method: body === undefined ? 'GET' : 'POST',
			dispatcher,
			signal: AbortSignal.timeout(timeout),
			headers: {authorization: `Bearer ${target.key}`, 'content-type': 'application/json', 'x-operator': target.operator},
			body: body === undefined ? undefined : JSON.stringify(body),
		});
		const document = await answer.body.json();
		return answer.statusCode === okStatus ? Ok(document as Document) : Err(readProblem(problemSchema.parse(document)));
	} catch (error) {
		return Err(createFailure('no-upstream', `The daemon at ${target.url} does not answer: ${(error as Error).message}`, {ran: 'unknown'}));
	} finally {
		await dispatcher.destroy();
	}
}
