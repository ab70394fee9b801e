/**
 * HTTP server of a gateway for its callers.
 *
 * @module
 */
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import restana from 'restana';
import type {CallerLimits} from '../protocol/mod.js';
import {createByteLimits, type ByteLimits} from './byte-limits.js';
import {createSystemClock} from './clock.js';
import {createCallerRelay, type CallerRelay, type RelayPolicy} from './caller-relay.js';
import {createConnectionTracker} from './connection-tracker.js';
import {listen, type ListenAddress} from './http-server.js';
import {installPipelineLimit} from './pipeline-limit.js';
import {createReadDelayEstimator} from './read-delay.js';

/** How a request was received. */
export type ReceivedRequest = {
	/** Longest time for which the request may have waited to be read, in milliseconds. */
	readonly unreadMs: number;
};

/** Handles one request of a caller. */
export type ServeCaller = (request: IncomingMessage, response: ServerResponse, received: ReceivedRequest) => Promise<void>;

/** A running server for callers. */
export type CallerServer = {
	readonly url: string;
	/** Applies the limits of a deployment to new requests. */
	readonly setLimits: (limits: CallerLimits) => void;
	/** Sends `connection: close` with every response from now on. */
	readonly requestConnectionClose: () => void;
	/**
	 * Closes idle connections now and the others after their response; returns how many are still open. New connections
	 * are still accepted, so that callers receive a response instead of a refused connection.
	 */
	readonly drain: () => number;
	/**
	 * Sets the decision whether the next connection is accepted, given the number of those whose first request has not been
	 * read; a connection that is not accepted is closed unread.
	 */
	readonly setAcceptPolicy: (shouldAccept: (awaiting: number) => boolean) => void;
	/**
	 * Sets the decision whether a response carries `connection: close`, made when its headers are written. A connection whose
	 * request is not received completely, or whose caller pipelines, stays open.
	 */
	readonly setClosePolicy: (shouldClose: () => boolean) => void;
	/** Sets the decision to which address the next connection is relayed. It comes before the decision whether the connection is accepted. */
	readonly setRelayPolicy: (policy: RelayPolicy) => void;
	/**
	 * Sets the decision whether connections that wait to be accepted are closed unread, made when they wait for long, or when
	 * one was accepted whose caller had left.
	 */
	readonly setDrainPolicy: (shouldDrain: () => boolean) => void;
	/**
	 * Listens for connections that other servers relay, and returns the address. They are not relayed again, and end with the
	 * response to their first request, so that a server that stops knows when its relayed connections are idle.
	 */
	readonly listenForRelayed: (address: ListenAddress) => Promise<string>;
	/** Returns the addresses of the connections that are relayed to other servers now, one for each. */
	readonly listRelayed: CallerRelay['listOpen'];
	/** Resets the connections relayed to a server on which no byte of an answer has arrived; returns their number. */
	readonly resetUnansweredRelays: CallerRelay['resetUnanswered'];
	/** Returns the bytes of the busier direction of all connections since the start. */
	readonly countBytes: () => number;
	/** Closes all connections immediately and stops listening. */
	readonly closeAllConnections: () => void;
	readonly getStatistics: () => CallerServerStatistics;
};

/** Counts of connections and requests. */
export type CallerServerStatistics = {
	/** Connections open now. */
	readonly open: number;
	/** Connections accepted since the start. */
	readonly connections: number;
	/** Connections closed unread since the start. */
	readonly dropped: number;
	/** Requests received since the start. */
	readonly requests: number;
	/** Connections relayed to other servers since the start. */
	readonly relayed: number;
	/** Connections since the start whose callers had left before they were accepted. */
	readonly abandoned: number;
};

/** Why a connection was closed: there are too many, or its caller does not read. */
export type EvictionReason = 'too-many' | 'unread';

/** Options of {@linkcode startCallerServer}. */
export type StartCallerServerOptions = {
	/** Called when another server broke a connection that was relayed to it. */
	readonly onRelayError?: (address: string, error: Error) => void;
	/** Maximum number of open connections: beyond it, the one that has waited for its caller for longest is closed. Default none. */
	readonly maxConnections?: number | undefined;
	/** Time after which a connection is closed whose caller reads nothing although an answer waits, in milliseconds; default 60,000. */
	readonly unreadTimeoutMs?: number;
	/** Called when connections are closed because of these two limits. */
	readonly onEvict?: (evicted: {readonly reason: EvictionReason; readonly connections: number}) => void;
	/** Number of unanswered requests of a connection at which no further ones are read; default 8. */
	readonly maxUnanswered?: number;
	/** Account of what callers send ahead of the answers; by default one of its own. */
	readonly requestLimits?: Pick<ByteLimits, 'openHolder'>;
};

/**
 * Added to the idle timeout of a deployment. Callers reuse a connection until it has been idle for that timeout, which
 * `Keep-Alive` tells them; a server that closes it only later does not interrupt a request.
 */
const idleTimeoutMarginMs = 1000;
const timeoutCheckIntervalMs = 1000;
const unreadCheckIntervalMs = 5000;
/** `Keep-Alive` states whole seconds, so that a shorter idle timeout would be announced as 0. */
const minAnnouncedIdleTimeoutMs = 1000;
/** Interval at which the server checks that the event loop runs; a delay of requests that is shorter is not seen. */
const tickIntervalMs = 100;
/** Longer than any caller waits for an answer. */
const defaultUnreadTimeoutMs = 60_000;
/** Descriptors that are not for sockets. */
const reservedDescriptors = 200;
/** Part of the others for callers; the rest is for upstreams and other daemons. */
const callerDescriptorShare = 3 / 4;
/** Limit on the headers of a request; applies before the limit of the deployment is known. */
const initialMaxHeaderBytes = 65_536;

/**
 * @internal Sets `connection: close` on a response. As the connection closes
 * after the response with this header, a caller that pipelines requests receives
 * all responses only if just the last one has it; the header is therefore removed
 * from the previous response. Returns false if that one has already been sent
 * with the header: the request must not be served, as its response would be
 * discarded.
 */
function setConnectionClose(response: ServerResponse, previousResponse: ServerResponse | undefined): boolean {
	if (previousResponse?.getHeader('connection') === 'close') {
		if (previousResponse.headersSent) {
			return false;
		}

		previousResponse.removeHeader('connection');
	}

	response.setHeader('connection', 'close');
	return true;
}

/** @internal Returns whether a response has told the caller that no later request on the connection is served. */
function hasSentClose(response: ServerResponse | undefined): boolean {
	return response !== undefined && response.headersSent && response.getHeader('connection') === 'close';
}

/**
 * @internal Closes the connection of an answered request unless the rest of its body arrives in time. Closing it at once
 * would reset it, so that a caller who still sends the body could lose the answer.
 */
function closeUnlessComplete(request: IncomingMessage, timeoutMs: number): void {
	const {socket} = request;
	const timer = setTimeout(() => {
		if (!request.complete) {
			socket.destroy();
		}
	}, timeoutMs);
	socket.once('close', () => {
		clearTimeout(timer);
	});
}

/** @internal Adds alternating header names and values, which replace headers of these names that were set before. */
function appendHeaders(response: ServerResponse, list: readonly string[]): void {
	const names = list.filter((_item, index) => index % 2 === 0);
	for (const name of names.filter(item => response.hasHeader(item))) {
		response.removeHeader(name);
	}

	for (const [index, name] of names.entries()) {
		response.appendHeader(name, list[(2 * index) + 1]!);
	}
}

/**
 * @internal Calls a function just before the headers of a response are written.
 * If headers were set by then, Node.js keeps only the last of those with the same
 * name in a list that is written; here the list is appended instead.
 */
function watchHeaders(response: ServerResponse, onHeaders: () => void): void {
	const {writeHead} = response;
	response.writeHead = ((...parameters: Parameters<typeof writeHead>) => {
		onHeaders();
		const list: unknown = parameters.at(-1);
		if (Array.isArray(list) && !response.headersSent && response.getHeaderNames().length > 0) {
			appendHeaders(response, list as string[]);
			parameters.pop();
		}

		return Reflect.apply<ServerResponse, Parameters<typeof writeHead>, ServerResponse>(writeHead, response, parameters);
	}) as typeof writeHead;
}

/**
 * Computes the limit on callers' connections of a host.
 *
 * @example
 * ```ts
 * computeMaxConnections(4100); // 2925
 * ```
 *
 * @param descriptors Maximum number of open descriptors of the process; undefined if the settings do not name it
 * @returns The limit, or undefined for none
 */
export function computeMaxConnections(descriptors: number | undefined): number | undefined {
	return descriptors === undefined ? undefined : Math.max(1, Math.floor((descriptors - reservedDescriptors) * callerDescriptorShare));
}

/**
 * Starts the server.
 *
 * @example
 * ```ts
 * const server = await startCallerServer({host: '127.0.0.1', port: 0}, async (request, response) => {
 * 	response.end('ok');
 * });
 * ```
 *
 * @param address Where to listen
 * @param serve Handles requests; must not reject
 * @param options The callback for failed relays, and the limits on requests
 * @returns The running server
 * @throws {Error} If the server cannot listen on the address
 */
export async function startCallerServer(address: ListenAddress, serve: ServeCaller, options: StartCallerServerOptions = {}): Promise<CallerServer> {
	const {
		onRelayError, onEvict, maxUnanswered, maxConnections = Number.POSITIVE_INFINITY, unreadTimeoutMs = defaultUnreadTimeoutMs, requestLimits = createByteLimits(),
	} = options;
	const server = createServer({
		requestTimeout: 0, connectionsCheckingInterval: timeoutCheckIntervalMs, maxHeaderSize: initialMaxHeaderBytes, noDelay: true,
	});
	const pipelines = installPipelineLimit(server, {maxUnanswered, limits: requestLimits});
	const tracker = createConnectionTracker(server);
	const readDelay = createReadDelayEstimator({clock: createSystemClock(), tickIntervalMs});
	server.on('connection', () => {
		if (tracker.countOpen() > maxConnections && tracker.closeLongestWaiting()) {
			onEvict?.({reason: 'too-many', connections: 1});
		}
	});
	const unreadChecks = setInterval(() => {
		const closed = tracker.closeUnread(unreadTimeoutMs);
		if (closed > 0) {
			onEvict?.({reason: 'unread', connections: closed});
		}
	}, Math.min(unreadCheckIntervalMs, unreadTimeoutMs)).unref();
	const ticks = setInterval(readDelay.recordTick, tickIntervalMs).unref();
	server.on('connection', readDelay.recordAccept);
	let closesIdleAfterMs = server.keepAliveTimeout;
	let canAnnounceIdleTimeout = true;
	let shouldCloseAfterResponse = false;
	let isDraining = false;
	let requestCount = 0;
	let droppedCount = 0;
	let shouldAccept: (awaiting: number) => boolean = () => true;
	let shouldClose: (() => boolean) | undefined;
	server.on('drop', () => {
		droppedCount += 1;
	});
	const relay = createCallerRelay({
		server, onRelayError,
		countAwaiting: tracker.countAwaiting,
		shouldAccept: awaiting => shouldAccept(awaiting),
		onDrop() {
			droppedCount += 1;
		},
	});
	restana({
		server,
		prioRequestsProcessing: false,
		defaultRoute(request, response) {
			requestCount += 1;
			const unreadMs = Math.max(readDelay.estimateMs(request.socket), pipelines.computeWaitMs(request.socket));
			const previousResponse = tracker.trackRequest(request, response);
			// The response to a request after one with `connection: close` would be discarded; the caller knows that it was not served.
			if (hasSentClose(previousResponse) || (shouldCloseAfterResponse && !setConnectionClose(response, previousResponse))) {
				return;
			}

			watchHeaders(response, () => {
				if ((!canAnnounceIdleTimeout || relay.wasRelayed(request.socket) || shouldClose?.()) && tracker.canCloseAfter(request, response)) {
					response.setHeader('connection', 'close');
				}
			});

			// A response that began before the stop has no `connection: close`. The connection is closed as soon as it is
			// idle, so that the caller does not send its next request to a gateway that is about to exit.
			response.on('close', () => {
				// Node.js has set the announced timeout; it removes this one with the next request.
				if (tracker.isIdle(request.socket)) {
					request.socket.setTimeout(closesIdleAfterMs);
				}

				if (isDraining) {
					setImmediate(tracker.closeIfIdle, request.socket);
				}

				if (!request.complete) {
					closeUnlessComplete(request, server.headersTimeout);
				}
			});
			void serve(request, response, {unreadMs});
		},
	});
	const url = await listen(server, address);
	return {
		url,
		setLimits(limits) {
			server.headersTimeout = limits.headerTimeout;
			server.keepAliveTimeout = limits.idleTimeout;
			canAnnounceIdleTimeout = limits.idleTimeout >= minAnnouncedIdleTimeoutMs;
			closesIdleAfterMs = limits.idleTimeout + idleTimeoutMarginMs;
		},
		requestConnectionClose() {
			shouldCloseAfterResponse = true;
		},
		drain() {
			shouldCloseAfterResponse = true;
			isDraining = true;
			tracker.closeIdle();
			return tracker.countOpen();
		},
		setAcceptPolicy(policy) {
			shouldAccept = policy;
		},
		setClosePolicy(policy) {
			shouldClose = policy;
		},
		setRelayPolicy: relay.setPolicy,
		setDrainPolicy: relay.setDrainPolicy,
		listenForRelayed: relay.listen,
		listRelayed: relay.listOpen,
		resetUnansweredRelays: relay.resetUnanswered,
		countBytes: tracker.countBytes,
		closeAllConnections() {
			clearInterval(ticks);
			clearInterval(unreadChecks);
			server.close();
			relay.close();
			server.closeAllConnections();
		},
		getStatistics: () => ({
			open: tracker.countOpen(), connections: tracker.countAccepted(), dropped: droppedCount, requests: requestCount, ...relay.getStatistics(),
		}),
	};
}
