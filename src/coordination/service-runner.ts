/**
 * Runs calls of plain services, non-idempotent ones at most once.
 *
 * @module
 */
import {
	Ok, createFailure, type EventLog, type Failure, type Result, type Service,
} from '../protocol/mod.js';
import {allocateShares, type RegisteredRun, type TrackedRequest} from '../state/mod.js';
import type {Clock, ServiceClient} from '../transport/mod.js';
import type {LogFollower} from './log-follower.js';
import type {LogWriter} from './log-writer.js';
import type {Self} from './membership.js';
import type {ReceiptReporter} from './receipt-reporter.js';
import {rankByRendezvous} from './rendezvous.js';

/** One service call to run. */
export type ServiceWork = {
	readonly request: TrackedRequest;
	readonly service: Service;
	readonly payload: Uint8Array;
	/** Clock at which the caller's deadline passes. */
	readonly deadline: number;
};

/** Who the log gave a request to; or that this daemon may run it. */
export type RunRight =
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
	/** Longest wait for a run record, in milliseconds; default 3000. */
	readonly recordBound?: number;
};

/** Runs service calls. */
export type ServiceRunner = ReturnType<typeof createServiceRunner>;

const defaultRecordBound = 3000;
const roundPause = 500;
const notRunLimit = 10_000;

/**
 * Creates a runner.
 *
 * @example
 * ```ts
 * const right = await runner.obtainRight(request.id, service);
 * ```
 *
 * @param options The service and the log
 * @returns The runner
 */
export function createServiceRunner(options: CreateServiceRunnerOptions) {
	const {
		self, client, follower, writer, reporter, clock, events,
	} = options;
	const recordBound = options.recordBound ?? defaultRecordBound;
	const unrecorded = new Map<string, string>();
	const notRun = new Set<string>();

	function readRight(request: string): RunRight | undefined {
		const run = follower.state().runs.get(request);
		if (!run) {
			return undefined;
		}

		const isMine = run.daemon === self.id && run.incarnation === self.incarnation;
		return isMine ? {kind: 'mine'} : {kind: 'other', run};
	}

	// While the log is away the placement cannot change, so only the first placed executor may run without a record.
	function obtainWithoutLog(request: string, service: Service): RunRight {
		if (service.withoutLog === 'run' && isPlacedFirst(request, service.name)) {
			unrecorded.set(request, self.incarnation);
			return {kind: 'mine'};
		}

		return {kind: 'refused', failure: createFailure('log-unavailable', `Service "${service.name}" runs only what the log has recorded, and the log does not answer`, {retryAfterMs: 5000})};
	}

	function isPlacedFirst(request: string, service: string): boolean {
		const {placement} = follower.state();
		const placed = placement.listUpstreams().filter(member => member.serves.includes(service)).map(member => member.daemon);
		return rankByRendezvous(request, placed)[0] === self.id;
	}

	/**
	 * Takes up a right that this incarnation has had before.
	 *
	 * The register outlives the request table, which is bounded: a retry that
	 * the table has forgotten would find the right still its own and run
	 * again. Only what is known not to have run may start; that memory is
	 * bounded too, and forgetting there only makes the answer "unknown".
	 */
	function takeUpRight(request: string): RunRight {
		const right = explainOwnRight(request);
		notRun.delete(request);
		return right;
	}

	function explainOwnRight(request: string): RunRight {
		return notRun.has(request) ? {kind: 'mine'} : {kind: 'refused', failure: createFailure('outcome-unknown', 'The request was given to this upstream daemon before and is no longer known to it', {ran: 'unknown'})};
	}

	function findRight(request: string): RunRight | undefined {
		const known = readRight(request);
		return known?.kind === 'mine' ? explainOwnRight(request) : known;
	}

	function noteNotRun(request: string): void {
		notRun.add(request);
		for (const oldest of notRun) {
			if (notRun.size <= notRunLimit) {
				return;
			}

			notRun.delete(oldest);
		}
	}

	/**
	 * Asks the log who may run a request.
	 *
	 * Two entries that cannot see each other may send one request to two
	 * executors. Both append; the first record on the log decides, and the
	 * other executor reads it back before it would have run anything.
	 */
	async function obtainRight(request: string, service: Service): Promise<RunRight> {
		const known = readRight(request);
		if (known) {
			return known.kind === 'mine' ? takeUpRight(request) : known;
		}

		if (!follower.isLogUp()) {
			return obtainWithoutLog(request, service);
		}

		await writer.commit({
			kind: 'run', request, daemon: self.id, incarnation: self.incarnation,
		}, {isFolded: state => state.runs.has(request), signal: AbortSignal.timeout(recordBound)});
		const right = readRight(request) ?? obtainWithoutLog(request, service);
		// The record may still come to stand on the log; the request has not run under it.
		if (right.kind === 'refused') {
			noteNotRun(request);
		}

		return right;
	}

	async function callService(work: ServiceWork): Promise<Result<undefined, Failure>> {
		const {request, service} = work;
		const remaining = Math.max(1, work.deadline - clock.now());
		const answer = await client.call({service: service.name, body: work.payload, timeout: remaining});
		if (answer.err) {
			return answer;
		}

		const billed = allocateShares(request.shares, service.cost);
		reporter.add(request.incarnation, {request: request.id, attempt: request.attempt, shares: billed});
		request.push(answer.val.body);
		request.finish({billed, status: answer.val.status});
		return Ok(undefined);
	}

	async function recordLate(): Promise<void> {
		await Promise.all([...unrecorded].map(async ([request, incarnation]) => {
			const result = await writer.commit({
				kind: 'run', request, daemon: self.id, incarnation,
			}, {isFolded: state => state.runs.has(request), signal: AbortSignal.timeout(recordBound)});
			if (result.ok) {
				unrecorded.delete(request);
			}
		}));
	}

	return {
		obtainRight,
		/** What the log says of a request's right to run, without asking for one; undefined when it knows of none. */
		findRight,
		/** Notes that a request with the right to run was refused before it ran. */
		noteNotRun,

		/** Runs one call; the outcome is in the request. */
		async run(work: ServiceWork): Promise<void> {
			const {request} = work;
			if (clock.now() >= work.deadline) {
				noteNotRun(request.id);
				request.fail(createFailure('deadline-passed', 'The deadline passed before the call was sent'));
				return;
			}

			const outcome = await callService(work);
			if (outcome.err) {
				if (outcome.val.ran === 'unknown') {
					events.write('outcomeUnknown', {request: request.id, service: work.service.name});
				}

				if (outcome.val.ran === 'no') {
					noteNotRun(request.id);
				}

				request.fail(outcome.val);
			}
		},

		/** Records, once the log is back, what ran without a record. */
		async runRecorder(signal: AbortSignal): Promise<void> {
			while (!signal.aborted) {
				if (follower.isLogUp() && unrecorded.size > 0) {
					await recordLate();
				}

				await clock.sleep(roundPause, signal);
			}
		},
	};
}
