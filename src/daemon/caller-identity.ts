/**
 * Authenticates callers, and checks the headers of their requests.
 *
 * @module
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {LogFollower, Self} from '../coordination/mod.js';
import {
	Err, Ok, computeDigest, computeRequestId, createFailure, createId, parseDuration, type CallerKey, type EntrySettings, type Failure, type Result,
} from '../protocol/mod.js';
import type {Clock} from '../transport/mod.js';

/** An authenticated caller with the checked headers of its request. */
export type Caller = {
	readonly key: CallerKey;
	readonly class: string;
	readonly priority: number;
	/** Computes the request's ID. It is the same each time that the customer sends the same idempotency key to the same target. */
	readonly createRequestId: (target: string) => string;
	/** True if the caller gave an idempotency key. */
	readonly isKeyed: boolean;
	/** Clock time, in milliseconds. */
	readonly deadline: number;
	/** Aborted when the caller disconnects before the response is complete. */
	readonly signal: AbortSignal;
	/** Clock time, in milliseconds. */
	readonly startedAt: number;
};

/** Options of {@linkcode createCallerIdentity}. */
export type CreateCallerIdentityOptions = {
	readonly self: Self;
	/** Returns true late in a stop, when the load balancer has had time to notice that this entry daemon is not ready. */
	readonly isRefusingNew: () => boolean;
	readonly settings: EntrySettings['requests'];
	readonly follower: LogFollower;
	readonly clock: Clock;
};

const defaultClass = 'default';
const defaultPriority = 5;
const maxIdempotencyKeyLength = 256;

/** @internal */
function readHeader(request: IncomingMessage, name: string): string | undefined {
	const value = request.headers[name];
	return Array.isArray(value) ? value[0] : value;
}

/**
 * Creates the authentication of callers.
 *
 * @example
 * ```ts
 * const caller = createCallerIdentity(options).identifyCaller(request, response);
 * ```
 *
 * @param options Configuration, settings and clock
 * @returns The function that identifies the caller of a request
 */
export function createCallerIdentity(options: CreateCallerIdentityOptions) {
	const {self, settings, follower, clock} = options;

	function findKey(request: IncomingMessage): CallerKey | undefined {
		const header = readHeader(request, 'authorization') ?? '';
		const secret = header.startsWith('Bearer ') ? header.slice('Bearer '.length) : '';
		return secret ? follower.state().configuration.findKey(computeDigest(secret)) : undefined;
	}

	function readDeadline(request: IncomingMessage): Result<number, Failure> {
		const header = readHeader(request, 'x-deadline');
		if (header === undefined) {
			return Ok(clock.now() + settings.deadline);
		}

		const durationMs = parseDuration(header);
		return durationMs === undefined || durationMs <= 0
			? Err(createFailure('invalid-request', `Header "x-deadline" is "${header}"; expected a duration such as 2500ms or 30s`))
			: Ok(clock.now() + Math.min(durationMs, settings.longestDeadline));
	}

	function createDisconnectSignal(response: ServerResponse): AbortSignal {
		const disconnected = new AbortController();
		response.on('close', () => {
			if (!response.writableFinished) {
				disconnected.abort();
			}
		});
		return disconnected.signal;
	}

	function identifyCaller(request: IncomingMessage, response: ServerResponse): Result<Caller, Failure> {
		if (options.isRefusingNew()) {
			return Err(createFailure('leaving', `Entry daemon "${self.id}" is stopping`, {retryAfterMs: 1000}));
		}

		if (!follower.isReady()) {
			return Err(createFailure('not-ready', `Entry daemon "${self.id}" has no configuration yet`, {retryAfterMs: 1000}));
		}

		const key = findKey(request);
		if (!key) {
			return Err(createFailure('unknown-key', 'The bearer key is missing or unknown'));
		}

		const deadline = readDeadline(request);
		if (deadline.err) {
			return deadline;
		}

		const idempotencyKey = readHeader(request, 'idempotency-key');
		if (idempotencyKey !== undefined && (idempotencyKey === '' || idempotencyKey.length > maxIdempotencyKeyLength)) {
			return Err(createFailure('invalid-request', `Header "idempotency-key" has ${idempotencyKey.length} characters; expected 1 to ${maxIdempotencyKeyLength}`));
		}

		const {configuration} = follower.state();
		const className = readHeader(request, 'x-request-class') ?? defaultClass;
		const requestClass = configuration.findClass(className);
		return Ok({
			key,
			class: requestClass ? className : defaultClass,
			priority: requestClass?.priority ?? configuration.findCustomer(key.customer)?.priority ?? defaultPriority,
			isKeyed: idempotencyKey !== undefined,
			createRequestId: target => computeRequestId(key.customer, idempotencyKey ?? createId('once'), {target}),
			deadline: deadline.val,
			signal: createDisconnectSignal(response),
			startedAt: clock.now(),
		});
	}

	return {identifyCaller};
}
