/**
 * Who calls, with which rights, name and deadline.
 *
 * @module
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {LogFollower, Self} from '../coordination/mod.js';
import {
	Err, Ok, computeDigest, computeRequestId, createFailure, createId, parseDuration, type CallerKey, type EntrySettings, type Failure, type Result,
} from '../protocol/mod.js';
import type {Clock} from '../transport/mod.js';

/** A caller whose headers were checked. */
export type Caller = {
	readonly key: CallerKey;
	readonly class: string;
	readonly priority: number;
	readonly requestId: (target: string) => string;
	readonly isKeyed: boolean;
	readonly deadline: number;
	readonly signal: AbortSignal;
	readonly startedAt: number;
};

/** Options of {@linkcode createCallerIdentity}. */
export type CreateCallerIdentityOptions = {
	readonly self: Self;
	/** True late in a stop, when the balancer has had time to see that this entry is not ready. */
	readonly refusesNew: () => boolean;
	readonly settings: EntrySettings['requests'];
	readonly follower: LogFollower;
	readonly clock: Clock;
};

const defaultClass = 'default';
const defaultPriority = 5;
const longestKey = 256;

/** @internal */
function readHeader(request: IncomingMessage, name: string): string | undefined {
	const value = request.headers[name];
	return Array.isArray(value) ? value[0] : value;
}

/**
 * Creates the check of callers' headers.
 *
 * @example
 * ```ts
 * const caller = createCallerIdentity(options).identifyCaller(request, response);
 * ```
 *
 * @param options Configuration, settings and clock
 * @returns The check
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

		const span = parseDuration(header);
		return span === undefined || span <= 0
			? Err(createFailure('invalid-request', `Header "x-deadline" has "${header}": write a span of time such as 2500ms or 30s`))
			: Ok(clock.now() + Math.min(span, settings.longestDeadline));
	}

	function watchCaller(response: ServerResponse): AbortSignal {
		const left = new AbortController();
		response.on('close', () => {
			if (!response.writableFinished) {
				left.abort();
			}
		});
		return left.signal;
	}

	function identifyCaller(request: IncomingMessage, response: ServerResponse): Result<Caller, Failure> {
		if (options.refusesNew()) {
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
		if (idempotencyKey !== undefined && (idempotencyKey === '' || idempotencyKey.length > longestKey)) {
			return Err(createFailure('invalid-request', `Header "idempotency-key" has ${idempotencyKey.length} characters: write 1 to ${longestKey}`));
		}

		const {configuration} = follower.state();
		const className = readHeader(request, 'x-request-class') ?? defaultClass;
		const requestClass = configuration.findClass(className);
		return Ok({
			key,
			class: requestClass ? className : defaultClass,
			priority: requestClass?.priority ?? configuration.findCustomer(key.customer)?.priority ?? defaultPriority,
			isKeyed: idempotencyKey !== undefined,
			requestId: target => computeRequestId(key.customer, idempotencyKey ?? createId('once'), {target}),
			deadline: deadline.val,
			signal: watchCaller(response),
			startedAt: clock.now(),
		});
	}

	return {identifyCaller};
}
