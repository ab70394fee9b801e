/**
 * Relays an upstream's answer to the caller, either buffered or event by event.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import type {GatewayWire} from '../../protocol/mod.js';
import type {UpstreamResponse} from '../../transport/mod.js';
import type {ForwardRequest} from '../requests/forward-types.js';
import {createEventSplitter, type StreamEvent} from './event-splitter.js';

/**
 * Outcome of relaying an answer.
 *
 * - `complete`: the caller received the whole answer.
 * - `failed`: the upstream answered with a server error. The answer is held
 *   back so that another upstream can be tried; `deliver` sends it.
 * - `broken`: the answer was incomplete or unusable.
 */
export type RelayOutcome =
	| {readonly kind: 'complete'}
	| {readonly kind: 'failed'; readonly deliver: () => void}
	/** `wasConnectionLost` is true if the connection ended before the answer was complete. */
	| {readonly kind: 'broken'; readonly detail: string; readonly wasConnectionLost: boolean};

/** Options of {@linkcode AnswerRelay.relay}. */
export type RelayOptions = {
	/** Called when the first event or the whole answer has arrived. */
	readonly onFirstEvent: () => void;
	/** Called when the first event of a stream has arrived, before it is sent to the caller. */
	readonly onStreamBegin: () => void;
	/** Called with the size of the data whenever data arrives. */
	readonly onProgress: (bytes: number) => void;
};

const minServerErrorStatus = 500;

/** Relays the answers to one request, possibly from several upstreams, to its caller. */
export abstract class AnswerRelay {
	constructor(protected readonly request: ForwardRequest, protected readonly wire: GatewayWire) {}

	/** Number of events sent to the caller. */
	abstract get eventCount(): number;

	/** Id of the event after which another upstream must resume; undefined to start from the beginning. */
	abstract get lastEventId(): string | undefined;

	/** True if the request can still be restarted or resumed at another upstream. */
	abstract canRetry(): boolean;

	/** Relays an answer whose status and headers have arrived. */
	abstract relay(answer: UpstreamResponse, options: RelayOptions): Promise<RelayOutcome>;

	/** Buffers the whole answer before sending any of it, so that the request can be retried if the answer is incomplete. */
	protected async relayBuffered(answer: UpstreamResponse, options: RelayOptions): Promise<RelayOutcome> {
		const chunks: Uint8Array[] = [];
		try {
			for await (const chunk of answer.chunks) {
				chunks.push(chunk);
				options.onProgress(chunk.length);
			}
		} catch (error) {
			return {kind: 'broken', detail: (error as Error).message, wasConnectionLost: true};
		}

		const deliver = () => {
			this.request.answer.start(answer.status, this.wire.buildAnswerHeaders(answer.rawHeaders));
			this.request.answer.end(Buffer.concat(chunks));
		};

		if (answer.status >= minServerErrorStatus) {
			return {kind: 'failed', deliver};
		}

		options.onFirstEvent();
		deliver();
		return {kind: 'complete'};
	}
}

/** Relays answers that are buffered in full before they are sent. */
export class BufferedAnswerRelay extends AnswerRelay {
	get eventCount() {
		return 0;
	}

	get lastEventId() {
		return undefined;
	}

	canRetry(): boolean {
		return this.request.route.kind === 'idempotent';
	}

	async relay(answer: UpstreamResponse, options: RelayOptions): Promise<RelayOutcome> {
		return this.relayBuffered(answer, options);
	}
}

/** Relays a stream event by event. An interrupted stream may be resumed at another upstream. */
export class StreamAnswerRelay extends AnswerRelay {
	#eventCount = 0;
	#lastEventId = this.request.lastEventId;

	get eventCount() {
		return this.#eventCount;
	}

	get lastEventId() {
		return this.#lastEventId;
	}

	canRetry(): boolean {
		// Once an event has been sent, the resume position is known only if the events have ids.
		return this.request.route.isResumable && (this.#eventCount === 0 || this.#lastEventId !== undefined);
	}

	async relay(answer: UpstreamResponse, options: RelayOptions): Promise<RelayOutcome> {
		const isStream = String(answer.headers['content-type'] ?? '').startsWith('text/event-stream');
		if (answer.status !== 200 || !isStream) {
			return this.#relayNonStream(answer, options);
		}

		const splitter = createEventSplitter();
		try {
			for await (const chunk of answer.chunks) {
				options.onProgress(chunk.length);
				const events = splitter.push(chunk);
				if (events.length > 0) {
					await this.#forwardEvents(events, answer, options);
				}
			}
		} catch (error) {
			return {kind: 'broken', detail: (error as Error).message, wasConnectionLost: true};
		}

		if (splitter.getRemainder().length > 0) {
			return {kind: 'broken', detail: 'The stream ended in the middle of an event', wasConnectionLost: true};
		}

		this.#startAnswer(answer);
		this.request.answer.end();
		return {kind: 'complete'};
	}

	async #relayNonStream(answer: UpstreamResponse, options: RelayOptions): Promise<RelayOutcome> {
		if (this.request.answer.hasStarted()) {
			answer.abandon();
			return {kind: 'broken', detail: `The stream was not resumed: status ${answer.status}`, wasConnectionLost: false};
		}

		return this.relayBuffered(answer, options);
	}

	// A resumed stream keeps the status and headers of the first upstream that sent an event.
	#startAnswer(answer: UpstreamResponse): void {
		if (!this.request.answer.hasStarted()) {
			this.request.answer.start(answer.status, this.wire.buildAnswerHeaders(answer.rawHeaders));
		}
	}

	async #forwardEvents(events: readonly StreamEvent[], answer: UpstreamResponse, options: RelayOptions): Promise<void> {
		if (this.#eventCount === 0) {
			options.onFirstEvent();
			options.onStreamBegin();
		}

		this.#startAnswer(answer);
		this.#eventCount += events.length;
		this.#lastEventId = events.findLast(event => event.id !== undefined)?.id ?? this.#lastEventId;
		const written = this.request.answer.write(events.length === 1 ? events[0]!.bytes : Buffer.concat(events.map(event => event.bytes)));
		if (written) {
			await written;
		}
	}
}
