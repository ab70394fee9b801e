/**
 * Encoding of gossip between gateways.
 *
 * @module
 */
import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import {
	Err, Ok, PeerEntrySchema, PeerNewsSchema, PeerStateSchema, createFailure, type Failure, type PartRecord, type PeerEntry, type PeerNews, type PeerState, type Result,
} from '../../protocol/mod.js';
import type {
	PartAnnouncement, PeerEntryId, PeerView, PlacedPrompt,
} from '../../state/mod.js';
import {decodeOrigin, encodeOrigin} from '../streams/origin-codec.js';
import type {StreamAnnouncement} from '../streams/stream-recorder.js';
import {
	decodeLoad, decodeUse, encodeLoad, encodeUse, toUint32,
} from './load-codec.js';

/** Longest life of an announced stream: callers take one up again within seconds. */
const maxStreamLifetimeMs = 24 * 60 * 60 * 1000;

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
		digest, round: toUint32(round), trials: toUint32(trials), upstreams: crashes.map(({upstream}) => toUint32(upstream)), agesMs: crashes.map(({ageMs}) => toUint32(ageMs)),
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
		...viewAgeMs !== undefined && {viewAgeMs: toUint32(viewAgeMs)},
		free: shouldIncludeFreeTokens ? free.map(item => ({...item})) : [],
		crashes: crashes.map(({digest, round, crashes: count}) => ({digest, round: toUint32(round), crashes: toUint32(count)})),
		parts: parts.map(part => encodePart(part)),
		domains: domains.map(item => ({...item})),
		limits: limits.map(item => ({...item})),
	}));
	return create(PeerEntrySchema, {
		daemon, incarnation, sequence, state,
	});
}

/** @internal */
const isWhole = (value: number | undefined): boolean => value === undefined || Number.isSafeInteger(value);

/** @internal */
const isAmount = (value: number | undefined): boolean => value === undefined || (Number.isFinite(value) && value >= 0);

// A message may state any number. An offset or a version that nothing exceeds would hold for good, and amounts that are
// not finite would make sums unusable.
/** @internal */
function checkEntry(sequence: number, {version, free, domains, limits}: PeerState): void {
	const hasNumbers = isAmount(sequence) && Number.isSafeInteger(version) && free.every(({tokens}) => isAmount(tokens))
		&& domains.every(({offset, epoch}) => isWhole(offset) && isWhole(epoch))
		&& limits.every(({requestsPerSecond, ageMs}) => isAmount(requestsPerSecond) && isAmount(ageMs));
	if (!hasNumbers) {
		throw new RangeError('A number is out of its range');
	}
}

/** @internal */
function readEntry(entry: PeerEntryId & {readonly state: Uint8Array}, previousView: PeerView | undefined): PeerView {
	const {daemon, incarnation} = entry;
	const state = fromBinary(PeerStateSchema, entry.state);
	checkEntry(entry.sequence, state);
	const {
		address, uses, version, isLeaving, hasRoom, load, viewAgeMs, tellsFree, free, crashes, parts, domains, limits,
	} = state;
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
		prompts: prompts.map(({upstream, memory, parts}) => ({upstream, memory, parts: parts.map(({id, tokens}) => ({id, tokens: toUint32(tokens)}))})),
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
 * @returns The announced streams, without those that name no origin or an unusable lifetime
 */
export function listStreams({streams}: PeerNews): StreamAnnouncement[] {
	return streams.flatMap(({stream, origin, lifetimeMs, source}) => origin && isAmount(lifetimeMs) && lifetimeMs <= maxStreamLifetimeMs
		? [{
			stream, origin: decodeOrigin(origin), lifetimeMs, source,
		}]
		: []);
}

/**
 * Lists the placed prompts that a message announces.
 *
 * @example
 * ```ts
 * listPrompts(message).map(({upstream}) => upstream);
 * ```
 *
 * @param message The decoded message
 * @returns The prompts, without those whose memory is no amount of tokens
 */
export function listPrompts({prompts}: Pick<PeerNews, 'prompts'>): PlacedPrompt[] {
	return prompts.filter(({memory}) => isAmount(memory));
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
