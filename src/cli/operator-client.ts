/**
 * HTTP client for the operator interface of a daemon.
 *
 * @module
 */
import {Agent, request} from 'undici';
import {
	Err, Ok, createFailure, isFailureType, problemSchema, type Failure, type Problem, type Result,
} from '../protocol/mod.js';

/** Address of a daemon's operator interface, and the credentials for it. */
export type OperatorTarget = {
	readonly url: string;
	readonly key: string;
	/** User name of the operator, which is stored with a plan. */
	readonly operator: string;
};

const requestTimeoutMs = 20_000;
const okStatus = 200;
const urnPrefix = 'urn:fireflylane:';

/** @internal */
function convertProblem(problem: Problem): Failure {
	const type = problem.type.slice(urnPrefix.length);
	const retryAfterMs = problem.retryAfterSeconds === undefined ? undefined : problem.retryAfterSeconds * 1000;
	return createFailure(isFailureType(type) ? type : 'internal', problem.detail, {ran: problem.ran, retryAfterMs});
}

/**
 * Sends a request to a daemon's operator interface.
 *
 * @example
 * ```ts
 * const status = await sendOperatorRequest<Status>(target, '/v1/status');
 * ```
 *
 * @param target The daemon's address, and the key
 * @param path Path of the resource
 * @param body Body of a POST request; sends a GET request if left out
 * @returns The JSON document of the response, or the failure
 */
export async function sendOperatorRequest<Document>(target: OperatorTarget, path: string, body?: unknown): Promise<Result<Document, Failure>> {
	const dispatcher = new Agent();
	try {
		const response = await request(`${target.url}${path}`, {
			method: body === undefined ? 'GET' : 'POST',
			dispatcher,
			signal: AbortSignal.timeout(requestTimeoutMs),
			headers: {authorization: `Bearer ${target.key}`, 'content-type': 'application/json', 'x-operator': target.operator},
			body: body === undefined ? undefined : JSON.stringify(body),
		});
		const document = await response.body.json();
		return response.statusCode === okStatus ? Ok(document as Document) : Err(convertProblem(problemSchema.parse(document)));
	} catch (error) {
		return Err(createFailure('no-upstream', `The daemon at ${target.url} cannot be reached or gave an unreadable response: ${(error as Error).message}`, {ran: 'unknown'}));
	} finally {
		await dispatcher.destroy();
	}
}
