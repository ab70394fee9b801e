/**
 * Service that an upstream daemon offers to entry daemons.
 *
 * @module
 */
import type {MessageInitShape} from '@bufbuild/protobuf';
import type {HandlerContext, ServiceImpl} from '@connectrpc/connect';
import type {Self, RequestExecutor} from '../coordination/mod.js';
import type {
	Failure, RunFrameSchema, RunRequest, Upstream,
} from '../protocol/mod.js';
import type {TrackedRequest} from '../state/mod.js';

type Frame = MessageInitShape<typeof RunFrameSchema>;

/** @internal */
function formatRefusal(failure: Failure): Frame['body'] {
	return {
		case: 'refused',
		value: {
			code: failure.type, detail: failure.detail, ran: failure.ran, retryAfterMs: Math.round(failure.retryAfterMs ?? 0), heldBy: failure.heldBy ?? '',
		},
	};
}

/** @internal */
function formatEnd(request: TrackedRequest): Frame['body'] {
	if (!request.end) {
		return formatRefusal(request.failure!);
	}

	return {case: 'done', value: {...request.end, billed: [...request.end.billed], billedAttempt: request.attempt}};
}

/**
 * Creates the service for entry daemons.
 *
 * @example
 * ```ts
 * router.service(Upstream, createUpstreamInterface(self, executor));
 * ```
 *
 * @param self This daemon
 * @param executor Its request executor
 * @returns The service
 */
export function createUpstreamInterface(self: Self, executor: RequestExecutor): ServiceImpl<typeof Upstream> {
	async function * followRequest(run: RunRequest, request: TrackedRequest): AsyncGenerator<Frame> {
		const attemptId = {requestId: run.requestId, attempt: run.attempt};
		yield {...attemptId, body: {case: 'accepted', value: {upstream: self.id, incarnation: request.incarnation}}};
		for await (const item of executor.follow(request, run.fromSequence)) {
			yield item.kind === 'chunk'
				? {...attemptId, sequence: item.sequence, body: {case: 'chunk', value: item.chunk}}
				: {...attemptId, body: {case: 'progress', value: {}}};
		}

		yield {...attemptId, sequence: request.chunks.length, body: formatEnd(request)};
	}

	async function * streamFrames(run: RunRequest, context: HandlerContext): AsyncGenerator<Frame> {
		const opened = await executor.open(run);
		if (opened.err) {
			yield {requestId: run.requestId, attempt: run.attempt, body: formatRefusal(opened.val)};
			return;
		}

		// A refusal is not counted as a delivery: an entry daemon that keeps sending requests to a stopping daemon would delay
		// the stop. An entry daemon may end the call at any frame. The generator may then never be resumed, so the delivery
		// also ends when the signal is aborted.
		const endDelivery = executor.beginDelivery(run);
		if (context.signal.aborted) {
			endDelivery();
		} else {
			context.signal.addEventListener('abort', endDelivery, {once: true});
		}

		yield * followRequest(run, opened.val);
		endDelivery();
	}

	return {
		run: streamFrames,
		fence(request) {
			const outcome = executor.fence(request.requestId, request.attempt);
			return {state: outcome.state, billed: [...outcome.billed]};
		},
		cancel(request) {
			executor.cancel(request.requestId, request.attempt);
			return {};
		},
	};
}
