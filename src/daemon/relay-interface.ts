/**
 * Relays calls to the store for daemons that are partitioned from it: the
 * serving side, and a keyed log that is reached through another daemon.
 *
 * @module
 */
import type {ServiceImpl} from '@connectrpc/connect';
import {
	Err, Ok, type Relay, RelayOutcome, RelayState, createFailure, type AppendOutcome, type Failure, type KeyedLog, type KeyedPage, type RelayAppendReply, type RelayRecords, type Result,
} from '../protocol/mod.js';
import type {FleetClient} from '../transport/mod.js';

/** Timeout of a call to a relay beyond the requested wait: covers the relay's own call to the store and the network. */
const relayTimeoutMs = 1200;

/** @internal */
function buildRelayRecords(state: RelayState, {records = [], end = 0, epoch}: Partial<KeyedPage> = {}) {
	return {
		state, records: records.map(record => ({...record})), end, epoch,
	};
}

const relayOutcomes = {
	appended: RelayOutcome.APPENDED, behind: RelayOutcome.BEHIND, refused: RelayOutcome.REFUSED, unknown: RelayOutcome.UNKNOWN,
} as const;

/** @internal */
function buildAppendReply(outcome: AppendOutcome) {
	switch (outcome.kind) {
		case 'appended': {
			return {
				outcome: relayOutcomes.appended, offset: outcome.offset, epoch: outcome.epoch, detail: '',
			};
		}

		case 'behind': {
			return {
				outcome: relayOutcomes.behind, offset: outcome.end, epoch: outcome.epoch, detail: '',
			};
		}

		case 'refused':
		case 'unknown': {
			return {outcome: relayOutcomes[outcome.kind], offset: 0, detail: outcome.failure.detail};
		}
	}
}

/**
 * Creates the interface that relays the calls of other daemons over this daemon's direct path.
 *
 * @example
 * ```ts
 * router.service(Relay, createRelayInterface([deployments, upstreams, grants], signal));
 * ```
 *
 * @param logs The logs that can be reached through this daemon
 * @param signal Aborted when the daemon stops
 * @returns The implementation of the service
 */
export function createRelayInterface(logs: readonly KeyedLog[], signal: AbortSignal): ServiceImpl<typeof Relay> {
	const logsByName = new Map(logs.map(log => [log.name, log]));
	return {
		async readNewest({log}) {
			const newest = await logsByName.get(log)?.readNewest();
			return newest?.ok ? buildRelayRecords(RelayState.OK, newest.val) : buildRelayRecords(RelayState.AWAY);
		},
		async read({log, from, waitMs}) {
			const page = await logsByName.get(log)?.read(from, {waitMs, signal});
			if (page?.ok) {
				return buildRelayRecords(RelayState.OK, page.val);
			}

			return page?.val.kind === 'gone' ? buildRelayRecords(RelayState.GONE, {epoch: page.val.epoch}) : buildRelayRecords(RelayState.AWAY);
		},
		async append({log, key, value, at}) {
			const outcome = await logsByName.get(log)?.append({key, value}, {expectedEnd: at});
			return buildAppendReply(outcome ?? {kind: 'refused', failure: createFailure('unknown-object', `This daemon does not relay a log named "${log}"`)});
		},
	};
}

/** @internal */
function readPage(reply: RelayRecords): Result<KeyedPage, Failure> {
	return reply.state === RelayState.OK
		? Ok({records: reply.records, end: reply.end, epoch: reply.epoch})
		: Err(createFailure('log-unavailable', 'The relay cannot reach the store'));
}

/** @internal */
function readAppendReply(reply: RelayAppendReply): AppendOutcome {
	const failure = createFailure('log-unavailable', reply.detail);
	switch (reply.outcome) {
		case RelayOutcome.APPENDED: {
			return {kind: 'appended', offset: reply.offset, epoch: reply.epoch};
		}

		case RelayOutcome.BEHIND: {
			return {kind: 'behind', end: reply.offset, epoch: reply.epoch};
		}

		case RelayOutcome.REFUSED: {
			return {kind: 'refused', failure};
		}

		case RelayOutcome.UNKNOWN:
		case RelayOutcome.UNSPECIFIED: {
			return {kind: 'unknown', failure};
		}
	}
}

/** Options of {@linkcode openRelayedLog}. */
export type OpenRelayedLogOptions = {
	readonly fleet: FleetClient;
	readonly address: string;
	/** Called with the size of the records that a read returned. */
	readonly onReceived: (bytes: number) => void;
};

/**
 * Opens a keyed log that is reached through another daemon.
 *
 * @example
 * ```ts
 * const log = openRelayedLog('grants', {fleet, address: '10.0.0.7:7340', onReceived});
 * ```
 *
 * @param name Name of the log
 * @param options The address of the relay and the client for calling it
 * @returns The log
 */
export function openRelayedLog(name: string, {fleet, address, onReceived}: OpenRelayedLogOptions): KeyedLog {
	function countAndReadPage(reply: RelayRecords): Result<KeyedPage, Failure> {
		onReceived(reply.records.reduce((sum, {key, value}) => sum + key.length + (value?.length ?? 0), 0));
		return readPage(reply);
	}

	// Abandons the connection to a relay that does not answer, since the relay may have exited or the connection may be
	// unresponsive; the next call opens a new one.
	async function call<Answer>(send: (relay: ReturnType<FleetClient['connect']>['relay']) => Promise<Answer>): Promise<Result<Answer, Failure>> {
		const connection = fleet.connect(address);
		try {
			return Ok(await send(connection.relay));
		} catch (error) {
			connection.abandon();
			return Err(createFailure('log-unavailable', `The relay at ${address} did not answer: ${(error as Error).message}`));
		}
	}

	return {
		name,
		async readNewest() {
			const answer = await call(async relay => relay.readNewest({log: name}, {timeoutMs: relayTimeoutMs}));
			return answer.ok ? countAndReadPage(answer.val) : answer;
		},
		async read(from, {waitMs, signal}) {
			const answer = await call(async relay => relay.read({log: name, from, waitMs}, {timeoutMs: relayTimeoutMs + waitMs, signal}));
			if (answer.err) {
				return Err({kind: 'away', failure: answer.val});
			}

			if (answer.val.state === RelayState.GONE) {
				return Err({kind: 'gone', epoch: answer.val.epoch});
			}

			const page = countAndReadPage(answer.val);
			return page.ok ? page : Err({kind: 'away', failure: page.val});
		},
		async append(record, {expectedEnd}) {
			const answer = await call(async relay => relay.append({log: name, ...record, at: expectedEnd}, {timeoutMs: relayTimeoutMs}));
			return answer.ok ? readAppendReply(answer.val) : {kind: 'unknown', failure: answer.val};
		},
	};
}
