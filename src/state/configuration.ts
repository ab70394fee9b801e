/**
 * Configuration, folded from the log: plans, their confirmations, and the
 * values in force.
 *
 * The version in force is the offset of the confirmation that created it, so
 * versions increase along the log. If two plans with the same basis are
 * confirmed, the first one in the log is accepted and the other becomes stale.
 *
 * @module
 */
import type {
	BudgetDefinition, CallerKey, Change, Customer, EngineOrder, Model, RecordOf, RequestClass, Service,
} from '../protocol/mod.js';

/** State of a plan. */
export type PlanState = 'open' | 'accepted' | 'stale' | 'refused';

/** A plan and its state. */
export type Plan = {
	id: string;
	/** The configuration version that the plan is based on. */
	basis: number;
	by: string;
	changes: Change[];
	state: PlanState;
	/** The version that the plan created; set when it is accepted. */
	version?: number;
	/** Why the plan was refused or became stale. */
	reason?: string;
};

/** An engine order with its fencing token. */
export type FencedOrder = EngineOrder & {fence: number};

/** Serialisable form of the configuration. */
export type ConfigurationSnapshot = {
	version: number;
	customers: Customer[];
	keys: CallerKey[];
	budgets: BudgetDefinition[];
	models: Model[];
	services: Service[];
	classes: RequestClass[];
	orders: FencedOrder[];
	plans: Plan[];
};

const maxPlans = 256;

/** @internal */
function indexBy<Item>(items: readonly Item[] | undefined, getKey: (item: Item) => string): Map<string, Item> {
	return new Map(items?.map(item => [getKey(item), item]));
}

/** Configuration in force; each `fold…` method applies one log record. */
export type Configuration = ReturnType<typeof createConfiguration>;

/**
 * Creates a configuration.
 *
 * @example
 * ```ts
 * const configuration = createConfiguration();
 * configuration.foldPlan({kind: 'plan', plan: 'p1', basis: 0, by: 'ana', changes: []});
 * configuration.foldConfirm({kind: 'confirm', plan: 'p1', by: 'ana'}, 5);
 * configuration.version(); // 5
 * ```
 *
 * @param snapshot Snapshot to start from; default empty
 * @returns The configuration
 */
export function createConfiguration(snapshot?: ConfigurationSnapshot) {
	let version = snapshot?.version ?? 0;
	const customers = indexBy(snapshot?.customers, customer => customer.id);
	const keys = indexBy(snapshot?.keys, key => key.digest);
	const budgets = indexBy(snapshot?.budgets, budget => budget.id);
	const models = indexBy(snapshot?.models, model => model.name);
	const services = indexBy(snapshot?.services, service => service.name);
	const classes = indexBy(snapshot?.classes, item => item.name);
	const orders = indexBy(snapshot?.orders, order => `${order.upstream}/${order.action}`);
	const plans = indexBy(snapshot?.plans.map(plan => ({...plan})), plan => plan.id);

	function applyChange(change: Change, offset: number): void {
		switch (change.change) {
			case 'put-customer': {
				customers.set(change.customer.id, change.customer);
				break;
			}

			case 'put-key': {
				keys.set(change.key.digest, change.key);
				break;
			}

			case 'remove-key': {
				keys.delete(change.digest);
				break;
			}

			case 'put-budget': {
				budgets.set(change.budget.id, change.budget);
				break;
			}

			case 'put-model': {
				models.set(change.model.name, change.model);
				break;
			}

			case 'put-service': {
				services.set(change.service.name, change.service);
				break;
			}

			case 'put-class': {
				classes.set(change.class.name, change.class);
				break;
			}

			case 'order': {
				orders.set(`${change.order.upstream}/${change.order.action}`, {...change.order, fence: offset});
				break;
			}

			case 'top-up': {
				// Applied by the ledger.
				break;
			}
		}
	}

	// Returns why a change cannot be applied, or undefined if it can.
	function describeViolation(change: Change, added: AddedObjects): string | undefined {
		switch (change.change) {
			case 'put-key': {
				const {customer, budget} = change.key;
				const rule = added.budgets.get(budget) ?? budgets.get(budget);
				if (!customers.has(customer) && !added.customers.has(customer)) {
					return `Key names customer "${customer}", which does not exist`;
				}

				return rule?.customer === customer ? undefined : `Key names budget "${budget}", which is not one of customer "${customer}"`;
			}

			case 'put-budget': {
				const {customer} = change.budget;
				return customers.has(customer) || added.customers.has(customer) ? undefined : `Budget "${change.budget.id}" names customer "${customer}", which does not exist`;
			}

			case 'top-up': {
				return budgets.has(change.budget) || added.budgets.has(change.budget) ? undefined : `Top-up names budget "${change.budget}", which does not exist`;
			}

			case 'remove-key': {
				return keys.has(change.digest) ? undefined : `There is no key with digest "${change.digest}"`;
			}

			case 'put-customer':
			case 'put-model':
			case 'put-service':
			case 'put-class':
			case 'order': {
				return undefined;
			}
		}
	}

	function listViolations(changes: readonly Change[]): string[] {
		const added: AddedObjects = {customers: new Set(), budgets: new Map()};
		const violations: string[] = [];
		for (const change of changes) {
			if (change.change === 'put-customer') {
				added.customers.add(change.customer.id);
			}

			if (change.change === 'put-budget') {
				added.budgets.set(change.budget.id, change.budget);
			}

			const violation = describeViolation(change, added);
			if (violation) {
				violations.push(violation);
			}
		}

		return violations;
	}

	function evictOldPlans(): void {
		for (const id of plans.keys()) {
			if (plans.size <= maxPlans) {
				return;
			}

			plans.delete(id);
		}
	}

	return {
		/** Returns the version in force: the offset of the confirmation that created it, or 0 before the first one. */
		version: () => version,
		foldPlan(record: RecordOf<'plan'>): void {
			if (plans.has(record.plan)) {
				return;
			}

			plans.set(record.plan, {
				id: record.plan, basis: record.basis, by: record.by, changes: record.changes, state: 'open',
			});
			evictOldPlans();
		},

		/** Folds a confirmation and returns the changes that it brought into force. */
		foldConfirm(record: RecordOf<'confirm'>, offset: number): readonly Change[] {
			const plan = plans.get(record.plan);
			// A confirmation is appended again if the answer to its append is lost; only an open plan can be accepted.
			if (plan?.state !== 'open') {
				return [];
			}

			if (plan.basis !== version) {
				plan.state = 'stale';
				plan.reason = `The plan rests on version ${plan.basis}, and version ${version} is in force`;
				return [];
			}

			const [violation] = listViolations(plan.changes);
			if (violation) {
				plan.state = 'refused';
				plan.reason = violation;
				return [];
			}

			for (const change of plan.changes) {
				applyChange(change, offset);
			}

			version = offset;
			plan.state = 'accepted';
			plan.version = offset;
			return plan.changes;
		},

		/** Returns a sentence for each change that cannot be applied; empty if all can. */
		listViolations,
		findPlan: (id: string): Readonly<Plan> | undefined => plans.get(id),
		listPlans: (): Iterable<Readonly<Plan>> => plans.values(),
		findKey: (digest: string): CallerKey | undefined => keys.get(digest),
		findCustomer: (id: string): Customer | undefined => customers.get(id),
		findBudget: (id: string): BudgetDefinition | undefined => budgets.get(id),
		findModel: (name: string): Model | undefined => models.get(name),
		findService: (name: string): Service | undefined => services.get(name),
		findClass: (name: string): RequestClass | undefined => classes.get(name),
		listBudgets: (): Iterable<BudgetDefinition> => budgets.values(),
		listCustomers: (): Iterable<Customer> => customers.values(),
		listModels: (): Iterable<Model> => models.values(),
		listServices: (): Iterable<Service> => services.values(),
		listOrders: (): Iterable<FencedOrder> => orders.values(),
		buildSnapshot(): ConfigurationSnapshot {
			return {
				version,
				customers: [...customers.values()],
				keys: [...keys.values()],
				budgets: [...budgets.values()],
				models: [...models.values()],
				services: [...services.values()],
				classes: [...classes.values()],
				orders: [...orders.values()],
				plans: [...plans.values()].map(plan => ({...plan})),
			};
		},
	};
}

type AddedObjects = {
	readonly customers: Set<string>;
	readonly budgets: Map<string, BudgetDefinition>;
};
