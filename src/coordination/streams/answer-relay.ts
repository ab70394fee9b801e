/**
 * Relays an upstream's answer to the caller, either buffered or event by event.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {createFailure, type GatewayWire} from '../../protocol/mod.js';
import {
	createByteLimits, maxBufferedResponseBytes, maxEventBytes, maxResponseBytes, type ByteHolder, type ByteLimits, type UpstreamResponse,
} from '../../transport/mod.js';
import type {ForwardRequest} from '../requests/forward-types.js';
import {createEventSplitter, type StreamEvent} from './event-splitter.js';
import {createGrowingBuffer} from './growing-buffer.js';

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
	/**
	 * `wasConnectionLost` is true if the connection ended before the answer was complete, `isOfOtherStart` if a sound answer
	 * cannot be used because another process of the upstream may have sent it.
	 */
	| {readonly kind: 'broken'; readonly detail: string; readonly wasConnectionLost: boolean; readonly isOfOtherStart?: boolean};

/** Options of {@linkcode AnswerRelay.relay}. */
export type RelayOptions = {
	/** Called when the first event or the whole answer has arrived. */
	readonly onFirstEvent: () => void;
	/** Called when the first event of a stream has arrived, before it is sent to the caller. */
	readonly onStreamBegin: () => void;
	/** Called with the size of the data whenever data arrives. */
	readonly onProgress: (bytes: number) => void;
};

/** What is held of one response while it is assembled. */
type Assembly = {
	readonly holder: ByteHolder;
	/** Why the response was cut by the limit of the process; undefined if it was not. */
	readonly getCutDetail: () => string | undefined;
};

const minServerErrorStatus = 500;

/** An upstream's answer could not be read to its end. */
class ReadError extends Error {
	override get name() {
		return 'ReadError';
	}
}

/** @internal Tells errors of reading the answer from those of passing it on. */
async function * readChunks({chunks}: UpstreamResponse): AsyncIterableIterator<Uint8Array> {
	try {
		yield * chunks;
	} catch (error) {
		throw new ReadError((error as Error).message, {cause: error});
	}
}

/** Relays the answers to one request, possibly from several upstreams, to its caller. */
export abstract class AnswerRelay {
	// The server error that is held back while other upstreams are tried.
	#failureHolder: ByteHolder | undefined;

	constructor(protected readonly request: ForwardRequest, protected readonly wire: GatewayWire, protected readonly limits: ByteLimits = createByteLimits()) {}

	/** Number of events sent to the caller. */
	abstract get eventCount(): number;

	/** Id of the event after which another upstream must resume; undefined to start from the beginning. */
	abstract get lastEventId(): string | undefined;

	/** Relays an answer whose status and headers have arrived. */
	async relay(answer: UpstreamResponse, options: RelayOptions): Promise<RelayOutcome> {
		let cutDetail: string | undefined;
		const holder = this.limits.openHolder('assembled', detail => {
			cutDetail = detail;
			answer.abandon();
		});
		try {
			const outcome = await this.relayAssembled(answer, options, {holder, getCutDetail: () => cutDetail});
			return cutDetail === undefined || outcome.kind === 'complete' ? outcome : {kind: 'broken', detail: cutDetail, wasConnectionLost: false};
		} finally {
			holder.close();
		}
	}

	/** Ends the holding of a server error that was held back. */
	close(): void {
		this.#failureHolder?.close();
	}

	/** True if the request can still be restarted or resumed at another upstream. */
	abstract canRetry(): boolean;

	/** Returns the outcome of an answer that could not be read to its end; throws any other error, which does not show that the connection was lost. */
	protected classifyError(error: unknown): RelayOutcome {
		if (error instanceof ReadError || this.request.signal.aborted) {
			return {kind: 'broken', detail: (error as Error).message, wasConnectionLost: true};
		}

		throw error;
	}

	/** Ends an answer that exceeded a limit. */
	protected breakAnswer(answer: UpstreamResponse, limit: 'event' | 'response', {bytes, maxBytes}: {readonly bytes: number; readonly maxBytes: number}): RelayOutcome {
		answer.abandon();
		this.limits.recordCut(limit, {request: this.request.id, bytes, maxBytes});
		return {kind: 'broken', detail: `The ${limit} is longer than ${maxBytes} bytes`, wasConnectionLost: false};
	}

	/**
	 * Buffers the answer before sending any of it, so that the request can be retried if the answer is incomplete. An answer
	 * that is too long to be buffered is forwarded as it arrives.
	 */
	protected async relayBuffered(answer: UpstreamResponse, options: RelayOptions, assembly: Assembly): Promise<RelayOutcome> {
		const buffer = createGrowingBuffer();
		const isFailure = answer.status >= minServerErrorStatus;
		let bytes = 0;
		let isForwarded = false;
		try {
			for await (const chunk of readChunks(answer)) {
				bytes += chunk.length;
				options.onProgress(chunk.length);
				if (bytes > maxResponseBytes) {
					return this.breakAnswer(answer, 'response', {bytes, maxBytes: maxResponseBytes});
				}

				if (isForwarded) {
					await this.request.answer.write(chunk);
					continue;
				}

				buffer.append(chunk);
				assembly.holder.set(buffer.getCapacity());
				if (bytes <= maxBufferedResponseBytes) {
					continue;
				}

				if (isFailure) {
					return this.breakAnswer(answer, 'response', {bytes, maxBytes: maxBufferedResponseBytes});
				}

				if (assembly.getCutDetail() === undefined) {
					isForwarded = true;
					this.limits.recordForwarded({request: this.request.id, bytes});
					options.onFirstEvent();
					this.request.answer.start(answer.status, this.wire.buildAnswerHeaders(answer.rawHeaders));
					assembly.holder.set(0);
					await this.request.answer.write(buffer.take());
				}
			}
		} catch (error) {
			return this.classifyError(error);
		}

		if (isForwarded) {
			this.request.answer.end();
			return {kind: 'complete'};
		}

		const cutDetail = assembly.getCutDetail();
		if (cutDetail !== undefined) {
			return {kind: 'broken', detail: cutDetail, wasConnectionLost: false};
		}

		if (isFailure) {
			return {kind: 'failed', deliver: this.#holdFailure(answer, buffer.take())};
		}

		options.onFirstEvent();
		assembly.holder.close();
		this.#deliver(answer, buffer.take());
		return {kind: 'complete'};
	}

	/** Relays an answer and sets in its assembly how many bytes are held. */
	protected abstract relayAssembled(answer: UpstreamResponse, options: RelayOptions, assembly: Assembly): Promise<RelayOutcome>;

	#deliver(answer: UpstreamResponse, body: Uint8Array): void {
		this.request.answer.start(answer.status, this.wire.buildAnswerHeaders(answer.rawHeaders));
		this.request.answer.end(body);
	}

	// Returns the function that sends the server error. It replaces the one that was held back before.
	#holdFailure(answer: UpstreamResponse, failureBody: Uint8Array): () => void {
		let body: Uint8Array | undefined = failureBody;
		this.#failureHolder?.close();
		const holder = this.limits.openHolder('assembled', () => {
			body = undefined;
		});
		this.#failureHolder = holder;
		holder.set(failureBody.length);
		return () => {
			holder.close();
			if (body) {
				this.#deliver(answer, body);
			} else {
				this.request.answer.refuse(createFailure('outcome-unknown', 'The upstream answered with a server error that could not be kept', {ran: 'unknown'}));
			}
		};
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
		// Nothing can replace an answer that is forwarded as it arrives.
		return this.request.route.kind === 'idempotent' && !this.request.answer.hasStarted();
	}

	protected async relayAssembled(answer: UpstreamResponse, options: RelayOptions, assembly: Assembly): Promise<RelayOutcome> {
		return this.relayBuffered(answer, options, assembly);
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
		if (!this.request.route.isResumable) {
			return false;
		}

		return this.#eventCount === 0 ? !this.request.answer.hasStarted() : this.#lastEventId !== undefined;
	}

	protected async relayAssembled(answer: UpstreamResponse, options: RelayOptions, assembly: Assembly): Promise<RelayOutcome> {
		const isStream = String(answer.headers['content-type'] ?? '').startsWith('text/event-stream');
		if (answer.status !== 200 || !isStream) {
			return this.#relayNonStream(answer, options, assembly);
		}

		const splitter = createEventSplitter();
		try {
			for await (const chunk of readChunks(answer)) {
				options.onProgress(chunk.length);
				const events = splitter.push(chunk);
				assembly.holder.set(splitter.getHeldBytes());
				const tooLong = events.findIndex(event => event.bytes.length > maxEventBytes);
				const whole = tooLong === -1 ? events : events.slice(0, tooLong);
				if (whole.length > 0) {
					await this.#forwardEvents(whole, answer, options);
				}

				const bytes = events[tooLong]?.bytes.length ?? splitter.getRemainder().length;
				if (bytes > maxEventBytes) {
					return this.breakAnswer(answer, 'event', {bytes, maxBytes: maxEventBytes});
				}
			}
		} catch (error) {
			return this.classifyError(error);
		}

		if (splitter.getRemainder().length > 0) {
			return {kind: 'broken', detail: 'The stream ended in the middle of an event', wasConnectionLost: true};
		}

		this.#startAnswer(answer);
		this.request.answer.end();
		return {kind: 'complete'};
	}

	async #relayNonStream(answer: UpstreamResponse, options: RelayOptions, assembly: Assembly): Promise<RelayOutcome> {
		if (this.request.answer.hasStarted()) {
			answer.abandon();
			return {kind: 'broken', detail: `The stream was not resumed: status ${answer.status}`, wasConnectionLost: false};
		}

		return this.relayBuffered(answer, options, assembly);
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
