/**
 * Carries calls to the store for daemons that are cut off from it: the serving
 * side, and a keyed log through another daemon.
 *
 * @module
 */
import type {ServiceImpl} from '@connectrpc/connect';
import {
	Err, Ok, type Relay, RelayOutcome, RelayState, createFailure, type AppendOutcome, type Failure, type KeyedLog, type KeyedPage, type RelayAppendReply, type RelayRecords, type Result,
} from '../protocol/mod.js';
import type {FleetClient} from '../transport/mod.js';

/** A relay's answer may take this long beyond the wait asked for, in milliseconds: its own call and the way to it. */
const relayTimeout = 1200;

/** @internal */
function buildRecords(state: RelayState, page?: KeyedPage) {
	return {state, records: page?.records.map(record => ({...record})) ?? [], end: page?.end ?? 0};
}

const outcomes = {
	appended: RelayOutcome.APPENDED, behind: RelayOutcome.BEHIND, refused: RelayOutcome.REFUSED, unknown: RelayOutcome.UNKNOWN,
} as const;

/** @internal */
function buildAppendReply(outcome: AppendOutcome) {
	switch (outcome.kind) {
		case 'appended': {
			return {outcome: outcomes.appended, offset: outcome.offset, detail: ''};
		}

		case 'behind': {
			return {outcome: outcomes.behind, offset: outcome.end, detail: ''};
		}

		case 'refused':
		case 'unknown': {
			return {outcome: outcomes[outcome.kind], offset: 0, detail: outcome.failure.detail};
		}
	}
}

/**
 * Creates the interface that carries others' calls over the direct way.
 *
 * @example
 * ```ts
 * router.service(Relay, createRelayInterface([deployments, upstreams, grants], signal));
 * ```
 *
 * @param logs The logs that may be reached through this daemon
 * @param signal Aborted at the daemon's stop
 * @returns The implementation of the service
 */
export function createRelayInterface(logs: readonly KeyedLog[], signal: AbortSignal): ServiceImpl<typeof Relay> {
	const byName = new Map(logs.map(log => [log.name, log]));
	return {
		async readNewest({log}) {
			const newest = await byName.get(log)?.readNewest();
			return newest?.ok ? buildRecords(RelayState.OK, newest.val) : buildRecords(RelayState.AWAY);
		},
		async read({log, from, waitMs}) {
			const page = await byName.get(log)?.read(from, {waitMs, signal});
			if (page?.ok) {
				return buildRecords(RelayState.OK, page.val);
			}

			return buildRecords(page?.val.kind === 'gone' ? RelayState.GONE : RelayState.AWAY);
		},
		async append({log, key, value, at}) {
			const outcome = await byName.get(log)?.append({key, value}, {expectedEnd: at});
			return buildAppendReply(outcome ?? {kind: 'refused', failure: createFailure('unknown-object', `This daemon carries no log "${log}"`)});
		},
	};
}

/** @internal */
function readPage(answer: RelayRecords): Result<KeyedPage, Failure> {
	return answer.state === RelayState.OK
		? Ok({records: answer.records, end: answer.end})
		: Err(createFailure('log-unavailable', 'The relay does not reach the store'));
}

/** @internal */
function readAppendReply(reply: RelayAppendReply): AppendOutcome {
	const failure = createFailure('log-unavailable', reply.detail);
	switch (reply.outcome) {
		case RelayOutcome.APPENDED: {
			return {kind: 'appended', offset: reply.offset};
		}

		case RelayOutcome.BEHIND: {
			return {kind: 'behind', end: reply.offset};
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

/** Options of {@linkcode openLogThrough}. */
export type OpenLogThroughOptions = {readonly fleet: FleetClient; readonly address: string};

/**
 * Opens a keyed log through another daemon.
 *
 * @example
 * ```ts
 * const log = openLogThrough('grants', {fleet, address: '10.0.0.7:7340'});
 * ```
 *
 * @param name The log's name
 * @param options The other daemon
 * @returns The log
 */
export function openLogThrough(name: string, {fleet, address}: OpenLogThroughOptions): KeyedLog {
	// A relay that does not answer may be gone, or its connection silent: the next call opens a new one.
	async function call<Answer>(run: (relay: ReturnType<FleetClient['connect']>['relay']) => Promise<Answer>): Promise<Result<Answer, Failure>> {
		const connection = fleet.connect(address);
		try {
			return Ok(await run(connection.relay));
		} catch (error) {
			connection.abandon();
			return Err(createFailure('log-unavailable', `The relay at ${address} does not answer: ${(error as Error).message}`));
		}
	}

	return {
		name,
		async readNewest() {
			const answer = await call(async relay => relay.readNewest({log: name}, {timeoutMs: relayTimeout}));
			return answer.ok ? readPage(answer.val) : answer;
		},
		async read(from, {waitMs, signal}) {
			const answer = await call(async relay => relay.read({log: name, from, waitMs}, {timeoutMs: relayTimeout + waitMs, signal}));
			if (answer.err) {
				return Err({kind: 'away', failure: answer.val});
			}

			if (answer.val.state === RelayState.GONE) {
				return Err({kind: 'gone'});
			}

			const page = readPage(answer.val);
			return page.ok ? page : Err({kind: 'away', failure: page.val});
		},
		async append(record, {expectedEnd}) {
			const answer = await call(async relay => relay.append({log: name, ...record, at: expectedEnd}, {timeoutMs: relayTimeout}));
			return answer.ok ? readAppendReply(answer.val) : {kind: 'unknown', failure: answer.val};
		},
	};
}
