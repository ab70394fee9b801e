/**
 * Sends chunks of one request into the streams of others, as a fault that the
 * entry's checks must catch.
 *
 * @module
 */
import type {MessageInitShape} from '@bufbuild/protobuf';
import type {ServiceImpl} from '@connectrpc/connect';
import type {Self, RequestExecutor} from '../../../src/coordination/mod.js';
import {createUpstreamInterface as createGuarded} from '../../../src/daemon/upstream-interface.js';
import type {RunFrameSchema, Upstream} from '../../../src/protocol/mod.js';

type Frame = MessageInitShape<typeof RunFrameSchema>;

export function createUpstreamInterface(self: Self, desk: RequestExecutor): ServiceImpl<typeof Upstream> {
	const guarded = createGuarded(self, desk);
	let stray: Frame | undefined;
	return {
		...guarded,
		async * run(request, context) {
			for await (const frame of guarded.run(request, context)) {
				if (stray && stray.requestId !== request.requestId) {
					yield stray;
				}

				stray = frame.body?.case === 'chunk' ? frame : stray;
				yield frame;
			}
		},
	};
}
