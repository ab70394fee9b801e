/**
 * Converts origins of streams to the fleet's messages and back.
 *
 * @module
 */
import type {MessageInitShape} from '@bufbuild/protobuf';
import type {StreamOriginSchema, StreamOrigin as StreamOriginMessage} from '../../protocol/mod.js';
import type {StreamOrigin} from '../../state/mod.js';

/**
 * Encodes an origin.
 *
 * @example
 * ```ts
 * encodeOrigin({service: 'model', softwareVersion: 'v1'});
 * ```
 *
 * @param origin The origin
 * @returns The fields of the message
 */
export function encodeOrigin({service, softwareVersion, start}: StreamOrigin): MessageInitShape<typeof StreamOriginSchema> {
	return {service, ...softwareVersion !== undefined && {softwareVersion}, ...start && {start: {...start}}};
}

/**
 * Decodes an origin. A gateway of an earlier build names no start.
 *
 * @example
 * ```ts
 * decodeOrigin(message).softwareVersion;
 * ```
 *
 * @param message The message
 * @returns The origin
 */
export function decodeOrigin({service, softwareVersion, start}: StreamOriginMessage): StreamOrigin {
	return {service, softwareVersion, ...start && {start: {id: start.id, startedAt: start.startedAt}}};
}
