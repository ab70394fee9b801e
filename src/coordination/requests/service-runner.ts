/**
 * Runs calls of plain services. A call of a non-idempotent service runs at most
 * once.
 *
 * @module
 */
import {
	Ok, createFailure, type EventLog, type Failure, type Result, type Service,
} from '../../protocol/mod.js';
import {allocateShares, type RegisteredRun, type TrackedRequest} from '../../state/mod.js';
import type {Clock, ServiceClient} from '../../transport/mod.js';
import type {LogFollower} from '../store/log-follower.js';
import type {LogWriter} from '../store/log-writer.js';
import type {Self} from '../peers/membership.js';
import type {ReceiptReporter} from '../store/receipt-reporter.js';
import {rankByRendezvous} from '../peers/rendezvous.js';

/** One service call to run. */
export type ServiceWork = {
	readonly request: TrackedRequest;
	readonly service: Service;
	readonly payload: Uint8Array;
	/** Clock time of the caller's deadline, in milliseconds. */
	readonly deadline: number;
};

/** Whether this daemon may run a request, or which other daemon the log assigns it to. */
export type RunPermit =
	| {readonly kind: 'mine'}
	| {readonly kind: 'other'; readonly run: Readonly<RegisteredRun>}
	| {readonly kind: 'refused'; readonly failure: Failure};

/** Options of {@linkcode createServiceRunner}. */
export type CreateServiceRunnerOptions = {
	readonly self: Self;
	readonly client: ServiceClient;
	readonly follower: LogFollower;
	readonly writer: LogWriter;
	readonly reporter: ReceiptReporter;
	readonly clock: Clock;
	readonly events: EventLog;
	/** Timeout for appending a run record, in milliseconds; default 3000. */
	readonly recordTimeoutMs?: number;
};

/** Runs calls of a plain service. */
export type ServiceRunner = ReturnType<typeof createServiceRunner>;

const defaultRecordTimeoutMs = 3000;
const recordIntervalMs = 500;
const maxNotRun = 10_000;

/**
 * Creates a service runner.
 *
 * @example
 * ```ts
 * const permit = await runner.obtainPermit(request.id, service);
 * ```
 *
 * @param options Service client, log and receipts
 * @returns The service runner
 */
export function createServiceRunner(options: CreateServiceRunnerOptions) {
	const {
		self, client, follower, writer, reporter, clock, events,
	} = options;
	const recordTimeoutMs = options.recordTimeoutMs ?? defaultRecordTimeoutMs;
	/** Incarnation by request, for runs permitted while the log was unavailable. */
	const unrecordedRuns = new Map<string, string>();
	/** Requests that this incarnation is known not to have run. */
	const notRun = new Set<string>();

	function readPermit(request: string): RunPermit | undefined {
		const run = follower.state().runs.get(request);
		if (!run) {
			return undefined;
		}

		const isMine = run.daemon === self.id && run.incarnation === self.incarnation;
		return isMine ? {kind: 'mine'} : {kind: 'other', run};
	}

	// The placement cannot change while the log is unavailable, so the upstream daemon that ranks first for a request may
	// run it without a record, and no other.
	function obtainPermitWithoutLog(request: string, service: Service): RunPermit {
		if (service.withoutLog === 'run' && isFirstExecutor(request, service.name)) {
			unrecordedRuns.set(request, self.incarnation);
			return {kind: 'mine'};
		}

		return {kind: 'refused', failure: createFailure('log-unavailable', `The log is unavailable, and a run of service "${service.name}" must be recorded in it first`, {retryAfterMs: 5000})};
	}

	function isFirstExecutor(request: string, service: string): boolean {
		const {placement} = follower.state();
		const executors = placement.listUpstreams().filter(member => member.serves.includes(service)).map(member => member.daemon);
		return rankByRendezvous(request, executors)[0] === self.id;
	}

	/**
	 * Reuses a permit that this incarnation obtained before.
	 *
	 * The run records in the log outlive the bounded request table. A retry of a
	 * request that the table has dropped would find the run record of this
	 * incarnation and run again, so only a request in `notRun` may start. That
	 * set is bounded too; a request dropped from it gets the outcome "unknown".
	 */
	function reusePermit(request: string): RunPermit {
		const permit = checkOwnPermit(request);
		notRun.delete(request);
		return permit;
	}

	function checkOwnPermit(request: string): RunPermit {
		return notRun.has(request)
			? {kind: 'mine'}
			: {kind: 'refused', failure: createFailure('outcome-unknown', 'The request was assigned to this upstream daemon before, but its outcome is no longer stored', {ran: 'unknown'})};
	}

	function findPermit(request: string): RunPermit | undefined {
		const known = readPermit(request);
		return known?.kind === 'mine' ? checkOwnPermit(request) : known;
	}

	function markNotRun(request: string): void {
		notRun.add(request);
		for (const oldest of notRun) {
			if (notRun.size <= maxNotRun) {
				return;
			}

			notRun.delete(oldest);
		}
	}

	/**
	 * Obtains a permit for a request by appending a run record to the log.
	 *
	 * Two entry daemons that cannot reach each other may send the same request
	 * to two upstream daemons. Both append a run record, and the first one in the
	 * log decides: each reads the records back before it runs anything.
	 */
	async function obtainPermit(request: string, service: Service): Promise<RunPermit> {
		const known = readPermit(request);
		if (known) {
			return known.kind === 'mine' ? reusePermit(request) : known;
		}

		if (!follower.isLogUp()) {
			return obtainPermitWithoutLog(request, service);
		}

		await writer.commit({
			kind: 'run', request, daemon: self.id, incarnation: self.incarnation,
		}, {isFolded: state => state.runs.has(request), signal: AbortSignal.timeout(recordTimeoutMs)});
		const permit = readPermit(request) ?? obtainPermitWithoutLog(request, service);
		// The record may still reach the log later, although the request has not run under it.
		if (permit.kind === 'refused') {
			markNotRun(request);
		}

		return permit;
	}

	async function callService(work: ServiceWork): Promise<Result<undefined, Failure>> {
		const {request, service} = work;
		const remaining = Math.max(1, work.deadline - clock.now());
		const answer = await client.call({service: service.name, body: work.payload, timeoutMs: remaining});
		if (answer.err) {
			return answer;
		}

		const billed = allocateShares(request.shares, service.cost);
		reporter.add(request.incarnation, {request: request.id, attempt: request.attempt, shares: billed});
		request.push(answer.val.body);
		request.finish({billed, status: answer.val.status});
		return Ok(undefined);
	}

	async function recordPendingRuns(): Promise<void> {
		await Promise.all([...unrecordedRuns].map(async ([request, incarnation]) => {
			const result = await writer.commit({
				kind: 'run', request, daemon: self.id, incarnation,
			}, {isFolded: state => state.runs.has(request), signal: AbortSignal.timeout(recordTimeoutMs)});
			if (result.ok) {
				unrecordedRuns.delete(request);
			}
		}));
	}

	return {
		obtainPermit,
		/** Reads a request's permit from the log without obtaining one; undefined if the log has no run record of it. */
		findPermit,
		/** Records that a request with a permit was refused before it ran, so that a retry may run. */
		markNotRun,

		/** Runs one call and stores the outcome in the request. */
		async run(work: ServiceWork): Promise<void> {
			const {request} = work;
			if (clock.now() >= work.deadline) {
				markNotRun(request.id);
				request.fail(createFailure('deadline-passed', 'The deadline passed before the call was sent'));
				return;
			}

			const outcome = await callService(work);
			if (outcome.err) {
				if (outcome.val.ran === 'unknown') {
					events.write('outcomeUnknown', {request: request.id, service: work.service.name});
				}

				if (outcome.val.ran === 'no') {
					markNotRun(request.id);
				}

				request.fail(outcome.val);
			}
		},

		/** Appends the missing run records once the log is available again. */
		async runRecorder(signal: AbortSignal): Promise<void> {
			while (!signal.aborted) {
				if (follower.isLogUp() && unrecordedRuns.size > 0) {
					await recordPendingRuns();
				}

				await clock.sleep(recordIntervalMs, signal);
			}
		},
	};
}
