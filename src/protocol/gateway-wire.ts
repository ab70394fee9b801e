/**
 * How requests and answers look on the wire of one deployment, decoded into
 * types whose fields say what they hold. An adapter implements it.
 *
 * @module
 */
import type {IncomingHttpHeaders} from 'node:http';
import type {Failure} from './failures.js';
import type {Result} from './results.js';

/** A part of a prompt: requests that share its id share its tokens. */
export type PromptPart = {readonly id: string; readonly tokens: number};

/** What a caller said of a request to a model engine. */
export type Generation = {
	readonly model: string;
	readonly promptTokens: number;
	/** Most tokens that may be generated. */
	readonly outputTokens: number;
	/** The prompt's parts in order; the last belongs to the request or its session. */
	readonly parts: readonly PromptPart[];
};

/** What a caller said of a request. */
export type RequestFacts = {
	/** Names this attempt of the caller's; undefined when the caller sent none. */
	readonly id?: string;
	/** Milliseconds that the caller will wait; undefined when it did not say. */
	readonly patience?: number;
	readonly key?: string;
	readonly generation?: Generation;
	/** The last event that the caller already has; it asks to go on from there. */
	readonly lastEvent?: string;
};

/** What the gateway tells an upstream of a request. */
export type ForwardFacts = {
	readonly requestId?: string;
	/** The only upstream that may run it. */
	readonly upstream: string;
	readonly customer?: string;
	/** Milliseconds that are left. */
	readonly remaining: number;
	/** 0 is first, 9 last; undefined leaves it to the upstream. */
	readonly urgency?: number;
	/** Resume after this event. */
	readonly lastEvent?: string;
};

/** Running and waiting requests of an upstream, as told in an answer. */
export type ToldLoad = {readonly running: number; readonly waiting: number; readonly slots: number};

/** What an upstream's answer says. */
export type AnswerFacts = {
	/** The request that it answers; undefined when it does not say. */
	readonly requestId?: string;
	/** The upstream promises that the request has not run. */
	readonly hasNotRun: boolean;
	/** The upstream that was named is not the one at this address. */
	readonly isOtherUpstream: boolean;
	/** It bears the upstream's mark; without it the body is not the upstream's. */
	readonly isMarked: boolean;
	readonly load?: ToldLoad;
};

/** Header names and values in turn. */
export type RawHeaders = readonly string[];

/** Translates between the wire and the product's types. */
export type GatewayWire = {
	/** Reads a caller's request; a malformed field is `invalid-request`. */
	readonly readRequest: (headers: IncomingHttpHeaders) => Result<RequestFacts, Failure>;
	/** Reads the id alone, for the log; a request that cannot be read may have one. */
	readonly readId: (headers: IncomingHttpHeaders) => string | undefined;
	/** Builds the headers that an upstream gets from those that the caller sent. */
	readonly buildForwardHeaders: (raw: RawHeaders, facts: ForwardFacts) => string[];
	readonly readAnswer: (status: number, headers: IncomingHttpHeaders) => AnswerFacts;
	/** Builds the headers that the caller gets from those that the upstream sent. */
	readonly buildAnswerHeaders: (raw: RawHeaders) => string[];
	/** Header that tells a caller when to come back, with its value. */
	readonly formatRetryAfter: (milliseconds: number) => readonly [string, string];
	/** Path at which the balancer asks whether this daemon takes connections. */
	readonly readinessPath: string;
};
