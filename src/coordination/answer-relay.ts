/**
 * Hands an upstream's answer to the caller: whole, or event by event.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import type {GatewayWire} from '../protocol/mod.js';
import type {UpstreamAnswer} from '../transport/mod.js';
import {createEventSplitter, type StreamEvent} from './event-splitter.js';
import type {ForwardRequest} from './forward-types.js';

/**
 * How far an upstream's answer got: `complete`; `failed`, the upstream's own
 * failure, kept back so that another upstream may be tried; or `broken`, it
 * broke off.
 */
export type RelayOutcome =
	| {readonly kind: 'complete'}
	| {readonly kind: 'failed'; readonly passOn: () => void}
	/** `isTorn` says that its connection ended before the answer did. */
	| {readonly kind: 'broken'; readonly detail: string; readonly isTorn: boolean};

/** Options of {@linkcode AnswerRelay.relay}. */
export type RelayOptions = {
	/** Called with the first event or the whole answer. */
	readonly onFirst: () => void;
	/** Called whenever something arrived. */
	readonly onProgress: () => void;
};

const firstFailureStatus = 500;

/** Hands one request's answers to its caller. */
export abstract class AnswerRelay {
	constructor(protected readonly request: ForwardRequest, protected readonly wire: GatewayWire) {}

	/** Events that the caller got. */
	abstract get events(): number;

	/** The event after which another upstream must go on; undefined to begin anew. */
	abstract get lastEvent(): string | undefined;

	/** True while another upstream may begin anew or go on, if the kind of request allows it. */
	abstract canGoOn(): boolean;

	/** Relays an answer whose head has arrived. */
	abstract relay(answer: UpstreamAnswer, options: RelayOptions): Promise<RelayOutcome>;

	/** Reads a whole answer before any of it is passed on, so that one that breaks off can still be made good. */
	protected async relayWhole(answer: UpstreamAnswer, options: RelayOptions): Promise<RelayOutcome> {
		const chunks: Uint8Array[] = [];
		try {
			for await (const chunk of answer.chunks) {
				chunks.push(chunk);
				options.onProgress();
			}
		} catch (error) {
			return {kind: 'broken', detail: (error as Error).message, isTorn: true};
		}

		const passOn = () => {
			this.request.answer.start(answer.status, this.wire.buildAnswerHeaders(answer.rawHeaders));
			this.request.answer.end(Buffer.concat(chunks));
		};

		if (answer.status >= firstFailureStatus) {
			return {kind: 'failed', passOn};
		}

		options.onFirst();
		passOn();
		return {kind: 'complete'};
	}
}

/** Relays answers that are passed on whole. */
export class WholeAnswerRelay extends AnswerRelay {
	get events() {
		return 0;
	}

	get lastEvent() {
		return undefined;
	}

	canGoOn(): boolean {
		return this.request.route.kind === 'idempotent';
	}

	async relay(answer: UpstreamAnswer, options: RelayOptions): Promise<RelayOutcome> {
		return this.relayWhole(answer, options);
	}
}

/** Relays a stream event by event; a stream that breaks off may go on at another upstream. */
export class StreamAnswerRelay extends AnswerRelay {
	#events = 0;
	#lastEvent = this.request.lastEvent;

	get events() {
		return this.#events;
	}

	get lastEvent() {
		return this.#lastEvent;
	}

	canGoOn(): boolean {
		// Without an id, the place to go on from is unknown once an event was sent.
		return this.request.route.isResumable && (this.#events === 0 || this.#lastEvent !== undefined);
	}

	async relay(answer: UpstreamAnswer, options: RelayOptions): Promise<RelayOutcome> {
		const isStream = String(answer.headers['content-type'] ?? '').startsWith('text/event-stream');
		if (answer.status !== 200 || !isStream) {
			return this.#relayFailure(answer, options);
		}

		const splitter = createEventSplitter();
		try {
			for await (const chunk of answer.chunks) {
				options.onProgress();
				const events = splitter.push(chunk);
				if (events.length > 0) {
					await this.#passOn(events, answer, options);
				}
			}
		} catch (error) {
			return {kind: 'broken', detail: (error as Error).message, isTorn: true};
		}

		if (splitter.rest().length > 0) {
			return {kind: 'broken', detail: 'The stream ended in the middle of an event', isTorn: true};
		}

		this.#start(answer);
		this.request.answer.end();
		return {kind: 'complete'};
	}

	async #relayFailure(answer: UpstreamAnswer, options: RelayOptions): Promise<RelayOutcome> {
		if (this.request.answer.hasStarted()) {
			answer.abandon();
			return {kind: 'broken', detail: `The stream was not resumed: status ${answer.status}`, isTorn: false};
		}

		return this.relayWhole(answer, options);
	}

	// A resumed stream keeps the head of the first upstream that sent an event.
	#start(answer: UpstreamAnswer): void {
		if (!this.request.answer.hasStarted()) {
			this.request.answer.start(answer.status, this.wire.buildAnswerHeaders(answer.rawHeaders));
		}
	}

	async #passOn(events: readonly StreamEvent[], answer: UpstreamAnswer, options: RelayOptions): Promise<void> {
		if (this.#events === 0) {
			options.onFirst();
		}

		this.#start(answer);
		this.#events += events.length;
		this.#lastEvent = events.findLast(event => event.id !== undefined)?.id ?? this.#lastEvent;
		const written = this.request.answer.write(events.length === 1 ? events[0]!.bytes : Buffer.concat(events.map(event => event.bytes)));
		if (written) {
			await written;
		}
	}
}
