/**
 * Encoding of gossip between gateways.
 *
 * @module
 */
import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import {
	Err, Ok, PeerEntrySchema, PeerNewsSchema, PeerStateSchema, createFailure, type Failure, type PartRecord, type PeerEntry, type PeerNews, type Result,
} from '../../protocol/mod.js';
import type {
	PartAnnouncement, PeerEntryId, PeerView, PlacedPrompt,
} from '../../state/mod.js';
import {decodeOrigin, encodeOrigin} from '../streams/origin-codec.js';
import type {StreamAnnouncement} from '../streams/stream-recorder.js';
import {
	decodeLoad, decodeUse, encodeLoad, encodeUse,
} from './load-codec.js';

/** Options of {@linkcode encodeEntry}. */
export type EncodeEntryOptions = {
	readonly sequence: number;
	/** If false, the entry has no free tokens, and the receiver keeps those of an earlier entry. */
	readonly shouldIncludeFreeTokens: boolean;
};

/**
 * Encodes the crash record of a part.
 *
 * @example
 * ```ts
 * encodePart({digest: 'd', round: 0, trials: 0, crashes: [{upstream: 7, ageMs: 200}]}).agesMs; // [200]
 * ```
 *
 * @param part The record
 * @returns The fields of the message
 */
export function encodePart({digest, round, trials, crashes}: PartAnnouncement) {
	return {
		digest, round, trials, upstreams: crashes.map(({upstream}) => upstream), agesMs: crashes.map(({ageMs}) => ageMs),
	};
}

/**
 * Decodes the crash record of a part.
 *
 * @example
 * ```ts
 * decodePart(message).crashes; // [{upstream: 7, ageMs: 200}]
 * ```
 *
 * @param message The message
 * @returns The record
 */
export function decodePart({digest, round, trials, upstreams, agesMs}: Pick<PartRecord, 'digest' | 'round' | 'trials' | 'upstreams' | 'agesMs'>): PartAnnouncement {
	return {
		digest, round, trials, crashes: upstreams.map((upstream, index) => ({upstream, ageMs: agesMs[index] ?? 0})),
	};
}

/**
 * Encodes the state that a gateway advertises.
 *
 * @example
 * ```ts
 * encodeEntry(view, {sequence: 8, shouldIncludeFreeTokens: true});
 * ```
 *
 * @param view The state of the gateway
 * @param options The sequence number and contents of the entry
 * @returns The entry
 */
export function encodeEntry(view: PeerView, {sequence, shouldIncludeFreeTokens}: EncodeEntryOptions): PeerEntry {
	const {
		daemon, incarnation, address, uses, version, isLeaving, hasRoom, load, viewAgeMs, free, crashes, parts, domains, limits,
	} = view;
	const state = toBinary(PeerStateSchema, create(PeerStateSchema, {
		address, version, isLeaving, hasRoom, tellsFree: shouldIncludeFreeTokens,
		uses: uses.map(use => encodeUse(use)),
		...load && {load: encodeLoad(load)},
		...viewAgeMs !== undefined && {viewAgeMs: Math.round(viewAgeMs)},
		free: shouldIncludeFreeTokens ? free.map(item => ({...item})) : [],
		crashes: crashes.map(item => ({...item})),
		parts: parts.map(part => encodePart(part)),
		domains: domains.map(item => ({...item})),
		limits: limits.map(item => ({...item})),
	}));
	return create(PeerEntrySchema, {
		daemon, incarnation, sequence, state,
	});
}

/** @internal */
function readEntry(entry: PeerEntryId & {readonly state: Uint8Array}, previousView: PeerView | undefined): PeerView {
	const {daemon, incarnation} = entry;
	const {
		address, uses, version, isLeaving, hasRoom, load, viewAgeMs, tellsFree, free, crashes, parts, domains, limits,
	} = fromBinary(PeerStateSchema, entry.state);
	return {
		daemon, incarnation, address, version, isLeaving, hasRoom,
		uses: uses.map(use => decodeUse(use)),
		...load && {load: decodeLoad(load)},
		...viewAgeMs !== undefined && {viewAgeMs},
		free: tellsFree ? free.map(({customer, tokens}) => ({customer, tokens})) : previousView?.free ?? [],
		crashes: crashes.map(({digest, round, crashes: count}) => ({digest, round, crashes: count})),
		parts: parts.map(part => decodePart(part)),
		domains: domains.map(({failureDomain, offset, isEvacuated, epoch}) => ({
			failureDomain, offset, isEvacuated, ...epoch !== undefined && {epoch},
		})),
		limits: limits.map(({upstream, requestsPerSecond, ageMs}) => ({upstream, requestsPerSecond, ageMs})),
	};
}

/**
 * Decodes the state that a gateway advertises.
 *
 * @example
 * ```ts
 * decodeEntry(entry, previousView);
 * ```
 *
 * @param entry The received entry
 * @param previousView The previous view of the gateway
 * @returns The state of the gateway, or why the entry is malformed
 */
export function decodeEntry(entry: PeerEntryId & {readonly state: Uint8Array}, previousView: PeerView | undefined): Result<PeerView, Failure> {
	try {
		return Ok(readEntry(entry, previousView));
	} catch (error) {
		return Err(createFailure('malformed-request', `Gossip entry of "${entry.daemon}" is malformed: ${(error as Error).message}`));
	}
}

/**
 * Encodes one gossip message.
 *
 * @example
 * ```ts
 * encodeGossip([entry], []);
 * ```
 *
 * @param entries The sender's own entry and entries that it forwards
 * @param prompts Prompts that the sender has placed
 * @returns The encoded message
 */
export function encodeGossip(entries: readonly PeerEntry[], prompts: readonly PlacedPrompt[]): Uint8Array {
	return toBinary(PeerNewsSchema, create(PeerNewsSchema, {
		entries: [...entries],
		prompts: prompts.map(({upstream, memory, parts}) => ({upstream, memory, parts: parts.map(part => ({...part}))})),
	}));
}

/**
 * Encodes a message that announces a stream.
 *
 * @example
 * ```ts
 * encodeStream({stream: 'a-1', origin: {service: 'model', softwareVersion: 'v1'}, lifetimeMs: 20_000, source: 'entry-1'});
 * ```
 *
 * @param announcement The stream
 * @returns The encoded message
 */
export function encodeStream({stream, origin, lifetimeMs, source}: StreamAnnouncement): Uint8Array {
	return toBinary(PeerNewsSchema, create(PeerNewsSchema, {
		streams: [{
			stream, origin: encodeOrigin(origin), lifetimeMs, source,
		}],
	}));
}

/**
 * Lists the streams that a message announces.
 *
 * @example
 * ```ts
 * listStreams(message).map(({stream}) => stream);
 * ```
 *
 * @param message The decoded message
 * @returns The announced streams, without those that name no origin
 */
export function listStreams({streams}: PeerNews): StreamAnnouncement[] {
	return streams.flatMap(({stream, origin, lifetimeMs, source}) => origin
		? [{
			stream, origin: decodeOrigin(origin), lifetimeMs, source,
		}]
		: []);
}

/**
 * Decodes one gossip message.
 *
 * @example
 * ```ts
 * const gossip = decodeGossip(bytes);
 * ```
 *
 * @param bytes The encoded message
 * @returns The message, or why it is malformed
 */
export function decodeGossip(bytes: Uint8Array): Result<PeerNews, Failure> {
	try {
		return Ok(fromBinary(PeerNewsSchema, bytes));
	} catch (error) {
		return Err(createFailure('malformed-request', `Gossip message of ${bytes.length} bytes is malformed: ${(error as Error).message}`));
	}
}
