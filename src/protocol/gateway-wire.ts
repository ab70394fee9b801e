/**
 * The metadata that requests and answers carry in their headers, independent of
 * the header names. An adapter maps it to the headers of its deployment.
 *
 * @module
 */
import type {IncomingHttpHeaders} from 'node:http';
import type {Failure} from './failures.js';
import type {Result} from './results.js';

/** A part of a prompt. Prompts that contain a part of the same ID have its tokens in common. */
export type PromptPart = {readonly id: string; readonly tokens: number};

/** Generation parameters of a request to a model engine, as stated by the caller. */
export type GenerationParameters = {
	readonly model: string;
	readonly promptTokens: number;
	/** Maximum number of tokens to generate. */
	readonly maxOutputTokens: number;
	/** The parts of the prompt in order. The last part is specific to the request or its session. */
	readonly parts: readonly PromptPart[];
};

/** Metadata of a request from a caller. */
export type RequestMetadata = {
	/** Identifies the caller's attempt; undefined if the caller sent no ID. */
	readonly id?: string;
	/** Time that the caller waits for the answer, in milliseconds; undefined if not stated. */
	readonly timeoutMs?: number;
	readonly key?: string;
	readonly generation?: GenerationParameters;
	/** ID of the last event that the caller has received, after which the stream is to resume. */
	readonly lastEventId?: string;
	/** ID of the attempt that received the first event of the stream that the caller resumes. */
	readonly resumes?: string;
};

/** Metadata of a request that the gateway forwards to an upstream. */
export type ForwardMetadata = {
	readonly requestId?: string;
	/** ID of the only upstream that may run the request. */
	readonly upstream: string;
	readonly customer?: string;
	/** Time left until the deadline, in milliseconds. */
	readonly remainingMs: number;
	/** Scheduling order at the upstream, from 0 (first) to 9 (last); undefined for the default of the upstream. */
	readonly urgency?: number;
	/** ID of the event after which the stream resumes. */
	readonly lastEventId?: string;
	/** Address of another upstream, from whose cache the upstream first fetches the part of the prompt that it lacks. */
	readonly fetchFrom?: string;
};

/** Load of an upstream as reported in an answer. */
export type ReportedLoad = {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
	/** How long work takes on the upstream's host at this moment as a multiple of the usual; undefined if not stated. */
	readonly slowness?: number | 'malformed';
};

/** Metadata of an answer from an upstream. */
export type AnswerMetadata = {
	/** ID of the request that this answers; undefined if not stated. */
	readonly requestId?: string;
	/** True if the upstream guarantees that the request has not run. */
	readonly hasNotRun: boolean;
	/** True if the upstream at this address is not the one that the request named. */
	readonly isWrongUpstream: boolean;
	/** True if the answer has the upstream signature. Without it, the body does not come from the upstream. */
	readonly hasUpstreamSignature: boolean;
	readonly load?: ReportedLoad;
	/** Requests per second that the upstream takes from all gateways together; undefined if it names no limit. */
	readonly limit?: number | 'malformed';
	/** True if the upstream says that it leaves; undefined if it says nothing. */
	readonly isLeaving?: boolean | 'malformed';
	/** Time for which the upstream takes no requests of this gateway, in milliseconds; undefined if it names none or has not refused the request. */
	readonly restMs?: number | 'malformed';
};

/** Header names and values, alternating. */
export type RawHeaders = readonly string[];

/** Converts between headers and request or answer metadata. */
export type GatewayWire = {
	/** Reads the metadata of a caller's request; fails if a field is malformed. */
	readonly readRequest: (headers: IncomingHttpHeaders) => Result<RequestMetadata, Failure>;
	/** Reads only the request ID, for log events. Also works for requests with other malformed fields. */
	readonly readRequestId: (headers: IncomingHttpHeaders) => string | undefined;
	/** Builds the headers for the upstream from the caller's headers. */
	readonly buildForwardHeaders: (raw: RawHeaders, metadata: ForwardMetadata) => string[];
	readonly readAnswer: (status: number, headers: IncomingHttpHeaders) => AnswerMetadata;
	/** Builds the headers for the caller from the upstream's headers. */
	readonly buildAnswerHeaders: (raw: RawHeaders) => string[];
	/** Returns the name and value of the header that tells a caller when to retry. */
	readonly formatRetryAfter: (milliseconds: number) => readonly [string, string];
	/** Path at which an upstream reports its start. */
	readonly reportPath: string;
	/** Reads the start that an upstream reports, in milliseconds of Unix time by its own clock; undefined if the report names none. Throws if the report is malformed. */
	readonly readReportedStart: (text: string) => number | undefined;
	/** Path at which the load balancer checks whether this daemon accepts connections. */
	readonly readinessPath: string;
};
