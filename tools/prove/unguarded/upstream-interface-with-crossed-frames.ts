/**
 * Upstream interface that sends chunks of one request into the streams of others,
 * to simulate a faulty daemon. The frame check of the entry must drop them.
 *
 * @module
 */
import type {MessageInitShape} from '@bufbuild/protobuf';
import type {ServiceImpl} from '@connectrpc/connect';
import type {Self, RequestExecutor} from '../../../src/coordination/mod.js';
import {createUpstreamInterface as createGuarded} from '../../../src/daemon/upstream-interface.js';
import type {RunFrameSchema, Upstream} from '../../../src/protocol/mod.js';

type Frame = MessageInitShape<typeof RunFrameSchema>;

export function createUpstreamInterface(self: Self, executor: RequestExecutor): ServiceImpl<typeof Upstream> {
	const guarded = createGuarded(self, executor);
	let strayFrame: Frame | undefined;
	return {
		...guarded,
		async * run(request, context) {
			for await (const frame of guarded.run(request, context)) {
				if (strayFrame && strayFrame.requestId !== request.requestId) {
					yield strayFrame;
				}

				strayFrame = frame.body?.case === 'chunk' ? frame : strayFrame;
				yield frame;
			}
		},
	};
}
