/**
 * Intents: an operator states the changes that are wanted, gets a plan, and
 * confirms it.
 *
 * Plans and confirmations are records of the log. Any entry daemon can
 * therefore serve any plan, and the order of the log decides between concurrent
 * confirmations.
 *
 * @module
 */
import {
	Err, Ok, createFailure, createId, type Change, type EventLog, type Failure, type Intent, type Result,
} from '../../protocol/mod.js';
import type {Configuration, Plan} from '../../state/mod.js';
import type {LogFollower} from './log-follower.js';
import type {LogWriter} from './log-writer.js';

/** A line of a plan: an object before and after the change. */
export type PlanDifference = {
	readonly what: string;
	readonly before?: unknown;
	readonly after?: unknown;
	readonly effect: string;
};

/** A plan as it is shown to operators. */
export type PlanView = {
	readonly plan: string;
	readonly state: Plan['state'];
	/** Configuration version on which the plan is based. */
	readonly basis: number;
	/** Configuration version that the plan created once it was accepted. */
	readonly version?: number;
	readonly reason?: string;
	readonly differences: readonly PlanDifference[];
};

/** Options of {@linkcode createIntentManager}. */
export type CreateIntentManagerOptions = {
	readonly follower: LogFollower;
	readonly writer: LogWriter;
	readonly events: EventLog;
	/** How long to wait until a record is committed to the log, in milliseconds; default 10000. */
	readonly commitTimeoutMs?: number;
};

/** Manages intents: plans and confirms them. */
export type IntentManager = ReturnType<typeof createIntentManager>;

const defaultCommitTimeoutMs = 10_000;

/** @internal */
function describeChange(change: Change, configuration: Configuration): PlanDifference {
	switch (change.change) {
		case 'put-customer': {
			return {
				what: `customer ${change.customer.id}`, before: configuration.findCustomer(change.customer.id), after: change.customer, effect: 'The customer exists',
			};
		}

		case 'put-key': {
			return {
				what: `key ${change.key.digest.slice(0, 12)}`, before: configuration.findKey(change.key.digest), after: change.key,
				effect: `Callers with this key draw on budget "${change.key.budget}"`,
			};
		}

		case 'remove-key': {
			return {what: `key ${change.digest.slice(0, 12)}`, before: configuration.findKey(change.digest), effect: 'Callers with this key are refused'};
		}

		case 'put-budget': {
			return {
				what: `budget ${change.budget.id}`, before: configuration.findBudget(change.budget.id), after: change.budget,
				effect: `Entries claim ahead as for "${change.budget.weighs}"`,
			};
		}

		case 'top-up': {
			return {what: `budget ${change.budget}`, after: {tokens: change.tokens}, effect: `${change.tokens} tokens more can be spent; this cannot be undone`};
		}

		case 'put-model': {
			return {
				what: `model ${change.model.name}`, before: configuration.findModel(change.model.name), after: change.model, effect: 'Callers may ask for the model',
			};
		}

		case 'put-service': {
			return {
				what: `service ${change.service.name}`, before: configuration.findService(change.service.name), after: change.service,
				effect: `One call is billed ${change.service.cost} tokens`,
			};
		}

		case 'put-class': {
			return {
				what: `class ${change.class.name}`, before: configuration.findClass(change.class.name), after: change.class, effect: `Requests of the class have priority ${change.class.priority}`,
			};
		}

		case 'order': {
			return {what: `upstream ${change.order.upstream}`, after: change.order, effect: 'The upstream daemon gives its engine the order, with the version as fencing number'};
		}
	}
}

/**
 * Creates the intent manager of an entry daemon.
 *
 * @example
 * ```ts
 * const planned = await intents.plan({changes: [{change: 'top-up', budget: 'b1', tokens: 1000}]}, 'ana');
 * ```
 *
 * @param options The follower and the writer of the log
 * @returns The intent manager
 */
export function createIntentManager(options: CreateIntentManagerOptions) {
	const {follower, writer, events} = options;
	const commitTimeoutMs = options.commitTimeoutMs ?? defaultCommitTimeoutMs;

	function buildView(plan: Readonly<Plan>): PlanView {
		const {configuration} = follower.state();
		return {
			plan: plan.id, state: plan.state, basis: plan.basis, version: plan.version, reason: plan.reason,
			differences: plan.changes.map(change => describeChange(change, configuration)),
		};
	}

	function findView(id: string): Result<PlanView, Failure> {
		const plan = follower.state().configuration.findPlan(id);
		return plan ? Ok(buildView(plan)) : Err(createFailure('unknown-object', `There is no plan "${id}"`));
	}

	function checkState(plan: PlanView): Result<PlanView, Failure> {
		if (plan.state === 'stale') {
			events.write('planRefused', {plan: plan.plan, reason: 'stale'});
			return Err(createFailure('plan-stale', `Plan "${plan.plan}" is stale: ${plan.reason ?? ''}`));
		}

		if (plan.state === 'refused') {
			events.write('planRefused', {plan: plan.plan, reason: 'refused'});
			return Err(createFailure('plan-refused', `Plan "${plan.plan}" is refused: ${plan.reason ?? ''}`));
		}

		return Ok(plan);
	}

	return {
		findPlan: findView,
		list: (): PlanView[] => [...follower.state().configuration.listPlans()].map(plan => buildView(plan)),

		/** Records a plan for an intent; the configuration does not change until the plan is confirmed. */
		async plan(intent: Intent, by: string): Promise<Result<PlanView, Failure>> {
			const {configuration} = follower.state();
			const refusals = configuration.listViolations(intent.changes);
			if (refusals.length > 0) {
				return Err(createFailure('plan-refused', refusals.join('; ')));
			}

			const plan = createId('p');
			const committed = await writer.commit({
				kind: 'plan', plan, basis: configuration.version(), by, changes: intent.changes,
			}, {isFolded: state => state.configuration.findPlan(plan) !== undefined, signal: AbortSignal.timeout(commitTimeoutMs)});
			if (committed.err) {
				// A plan has no effect until it is confirmed, so it does not matter whether the append took effect.
				return Err(createFailure('log-unavailable', committed.val.detail, {retryAfterMs: committed.val.retryAfterMs}));
			}

			events.write('planRecorded', {plan, by});
			return findView(plan);
		},

		/** Confirms a plan; returns it as "accepted" only after the confirmation has been read back. */
		async confirm(id: string, by: string): Promise<Result<PlanView, Failure>> {
			const known = findView(id);
			if (known.err || known.val.state !== 'open') {
				return known.err ? known : checkState(known.val);
			}

			const committed = await writer.commit({kind: 'confirm', plan: id, by}, {
				isFolded: state => (state.configuration.findPlan(id)?.state ?? 'open') !== 'open',
				signal: AbortSignal.timeout(commitTimeoutMs),
			});
			if (committed.err) {
				const detail = `The outcome of confirming plan "${id}" is unknown; query its status or confirm it again, which has no further effect`;
				return Err(createFailure('log-unavailable', detail, {ran: 'unknown', retryAfterMs: 2000}));
			}

			const outcome = findView(id);
			if (outcome.ok && outcome.val.state === 'accepted') {
				events.write('planAccepted', {plan: id, version: outcome.val.version, by});
			}

			return outcome.err ? outcome : checkState(outcome.val);
		},
	};
}
