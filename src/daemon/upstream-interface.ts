/**
 * What an upstream daemon answers entry daemons.
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
function formatRefused(failure: Failure): Frame['body'] {
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
		return formatRefused(request.failure!);
	}

	return {case: 'done', value: {...request.end, billed: [...request.end.billed], billedAttempt: request.attempt}};
}

/**
 * Creates the answers to entry daemons.
 *
 * @example
 * ```ts
 * router.service(Upstream, createUpstreamInterface(self, desk));
 * ```
 *
 * @param self This daemon
 * @param desk Its requests
 * @returns The service
 */
export function createUpstreamInterface(self: Self, desk: RequestExecutor): ServiceImpl<typeof Upstream> {
	async function * followRequest(run: RunRequest, request: TrackedRequest): AsyncGenerator<Frame> {
		const name = {requestId: run.requestId, attempt: run.attempt};
		yield {...name, body: {case: 'accepted', value: {upstream: self.id, incarnation: request.incarnation}}};
		for await (const item of desk.follow(request, run.fromSequence)) {
			yield item.kind === 'chunk'
				? {...name, sequence: item.sequence, body: {case: 'chunk', value: item.chunk}}
				: {...name, body: {case: 'progress', value: {}}};
		}

		yield {...name, sequence: request.chunks.length, body: formatEnd(request)};
	}

	async function * streamFrames(run: RunRequest, context: HandlerContext): AsyncGenerator<Frame> {
		const opened = await desk.open(run);
		if (opened.err) {
			yield {requestId: run.requestId, attempt: run.attempt, body: formatRefused(opened.val)};
			return;
		}

		// Refusals do not count: an entry that asks a leaving daemon again and again would hold up its stop.
		// An entry that has what it wants ends the call at its side, at any frame: the signal tells of it, and the generator
		// may never be asked to go on.
		const end = desk.beginDelivery(run);
		if (context.signal.aborted) {
			end();
		} else {
			context.signal.addEventListener('abort', end, {once: true});
		}

		yield * followRequest(run, opened.val);
		end();
	}

	return {
		run: streamFrames,
		fence(request) {
			const outcome = desk.fence(request.requestId, request.attempt);
			return {state: outcome.state, billed: [...outcome.billed]};
		},
		cancel(request) {
			desk.cancel(request.requestId, request.attempt);
			return {};
		},
	};
}
