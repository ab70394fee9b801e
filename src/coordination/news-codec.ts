/**
 * News between gateways as bytes.
 *
 * @module
 */
import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import {
	Err, Ok, PeerEntrySchema, PeerNewsSchema, PeerStateSchema, createFailure, type Failure, type PeerEntry, type PeerNews, type Result,
} from '../protocol/mod.js';
import type {PeerEntryId, PeerView, PlacedPrompt} from '../state/mod.js';

/** Options of {@linkcode encodeEntry}. */
export type EncodeEntryOptions = {
	readonly sequence: number;
	/** False leaves out the free tokens; the receiver keeps those that it knows. */
	readonly tellsFree: boolean;
};

/**
 * Encodes what a gateway says of itself.
 *
 * @example
 * ```ts
 * encodeEntry(view, {sequence: 8, tellsFree: true});
 * ```
 *
 * @param view What it has
 * @param options The entry's number and contents
 * @returns The entry
 */
export function encodeEntry(view: PeerView, {sequence, tellsFree}: EncodeEntryOptions): PeerEntry {
	const {
		daemon, incarnation, address, uses, version, isLeaving, free, crashes,
	} = view;
	const state = toBinary(PeerStateSchema, create(PeerStateSchema, {
		address, version, isLeaving, tellsFree,
		uses: uses.map(use => ({...use})),
		free: tellsFree ? free.map(item => ({...item})) : [],
		crashes: crashes.map(item => ({...item})),
	}));
	return create(PeerEntrySchema, {
		daemon, incarnation, sequence, state,
	});
}

/** @internal */
function readEntry(entry: PeerEntryId & {readonly state: Uint8Array}, known: PeerView | undefined): PeerView {
	const {daemon, incarnation} = entry;
	const {
		address, uses, version, isLeaving, tellsFree, free, crashes,
	} = fromBinary(PeerStateSchema, entry.state);
	return {
		daemon, incarnation, address, version, isLeaving,
		uses: uses.map(({upstream, inFlight, waitingTokens}) => ({upstream, inFlight, waitingTokens})),
		free: tellsFree ? free.map(({customer, tokens}) => ({customer, tokens})) : known?.free ?? [],
		crashes: crashes.map(({digest, round, crashes: count}) => ({digest, round, crashes: count})),
	};
}

/**
 * Decodes what a gateway says of itself.
 *
 * @example
 * ```ts
 * decodeEntry(entry, known);
 * ```
 *
 * @param entry The entry
 * @param known What was known of the gateway
 * @returns What it has, or why it cannot be read
 */
export function decodeEntry(entry: PeerEntryId & {readonly state: Uint8Array}, known: PeerView | undefined): Result<PeerView, Failure> {
	try {
		return Ok(readEntry(entry, known));
	} catch (error) {
		return Err(createFailure('malformed-request', `The entry of "${entry.daemon}" cannot be read: ${(error as Error).message}`));
	}
}

/**
 * Encodes one datagram.
 *
 * @example
 * ```ts
 * encodeNews([entry], []);
 * ```
 *
 * @param entries The sender's entry and others
 * @param prompts Prompts that the sender has placed
 * @returns Its bytes
 */
export function encodeNews(entries: readonly PeerEntry[], prompts: readonly PlacedPrompt[]): Uint8Array {
	return toBinary(PeerNewsSchema, create(PeerNewsSchema, {
		entries: [...entries],
		prompts: prompts.map(({upstream, memory, parts}) => ({upstream, memory, parts: parts.map(part => ({...part}))})),
	}));
}

/**
 * Decodes one datagram.
 *
 * @example
 * ```ts
 * const news = decodeNews(bytes);
 * ```
 *
 * @param bytes Its bytes
 * @returns The news, or why they cannot be read
 */
export function decodeNews(bytes: Uint8Array): Result<PeerNews, Failure> {
	try {
		return Ok(fromBinary(PeerNewsSchema, bytes));
	} catch (error) {
		return Err(createFailure('malformed-request', `A datagram of ${bytes.length} bytes is no news: ${(error as Error).message}`));
	}
}
