import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import {expect, test} from 'vitest';
import {StreamOriginSchema} from '../../protocol/mod.js';
import type {StreamOrigin} from '../../state/mod.js';
import {decodeOrigin, encodeOrigin} from './mod.js';

test('an origin is the same after it was sent', () => {
	// Guards against a start that is lost on the way, so that an uncertain version counts as certain.
	const origins: StreamOrigin[] = [
		{service: 's', softwareVersion: undefined},
		{service: 's', softwareVersion: 'v1'},
		{service: 's', softwareVersion: 'v1', start: {id: 'u1', startedAt: 1_765_000_000_123}},
	];
	expect(origins.map(origin => decodeOrigin(fromBinary(StreamOriginSchema, toBinary(StreamOriginSchema, create(StreamOriginSchema, encodeOrigin(origin))))))).toEqual(origins);
});
