/**
 * Configuration, folded from the log: plans, their confirmations, and what is
 * in force.
 *
 * The version in force is the offset of the confirmation that made it, so it
 * only rises along the log. Of two confirmed plans with one basis the first
 * on the log wins and the other becomes stale.
 *
 * @module
 */
import type {
	BudgetRule, CallerKey, Change, Customer, EngineOrder, Model, RecordOf, RequestClass, Service,
} from '../protocol/mod.js';

/** What became of a plan. */
export type PlanState = 'open' | 'accepted' | 'stale' | 'refused';

/** A plan as the log knows it. */
export type Plan = {
	id: string;
	/** The version it rests on. */
	basis: number;
	by: string;
	changes: Change[];
	state: PlanState;
	/** The version it made, once accepted. */
	version?: number;
	/** Why it was refused. */
	reason?: string;
};

/** An engine order with its fencing number. */
export type FencedOrder = EngineOrder & {fence: number};

/** Serialisable form of the configuration. */
export type ConfigurationSnapshot = {
	version: number;
	customers: Customer[];
	keys: CallerKey[];
	budgets: BudgetRule[];
	models: Model[];
	services: Service[];
	classes: RequestClass[];
	orders: FencedOrder[];
	plans: Plan[];
};

const plansKept = 256;

/** @internal */
function indexBy<Item>(items: readonly Item[] | undefined, pick: (item: Item) => string): Map<string, Item> {
	return new Map(items?.map(item => [pick(item), item]));
}

/** The configuration; each `fold…` takes one record at its offset. */
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
				// The ledger folds it.
				break;
			}
		}
	}

	// Tells why a change cannot be applied, or undefined when it can.
	function explainChange(change: Change, added: Added): string | undefined {
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

	function listRefusals(changes: readonly Change[]): string[] {
		const added: Added = {customers: new Set(), budgets: new Map()};
		const refusals: string[] = [];
		for (const change of changes) {
			if (change.change === 'put-customer') {
				added.customers.add(change.customer.id);
			}

			if (change.change === 'put-budget') {
				added.budgets.set(change.budget.id, change.budget);
			}

			const refusal = explainChange(change, added);
			if (refusal) {
				refusals.push(refusal);
			}
		}

		return refusals;
	}

	function dropOldPlans(): void {
		for (const id of plans.keys()) {
			if (plans.size <= plansKept) {
				return;
			}

			plans.delete(id);
		}
	}

	return {
		/** The version in force: the offset of the confirmation that made it, 0 for none. */
		version: () => version,
		foldPlan(record: RecordOf<'plan'>): void {
			if (plans.has(record.plan)) {
				return;
			}

			plans.set(record.plan, {
				id: record.plan, basis: record.basis, by: record.by, changes: record.changes, state: 'open',
			});
			dropOldPlans();
		},

		/** Folds a confirmation and returns the changes that it put in force. */
		foldConfirm(record: RecordOf<'confirm'>, offset: number): readonly Change[] {
			const plan = plans.get(record.plan);
			// A confirmation whose answer was lost may stand twice; only an open plan can be accepted.
			if (plan?.state !== 'open') {
				return [];
			}

			if (plan.basis !== version) {
				plan.state = 'stale';
				plan.reason = `The plan rests on version ${plan.basis}, and version ${version} is in force`;
				return [];
			}

			const [refusal] = listRefusals(plan.changes);
			if (refusal) {
				plan.state = 'refused';
				plan.reason = refusal;
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

		/** What the changes break, as sentences; empty when nothing. */
		listRefusals,
		findPlan: (id: string): Readonly<Plan> | undefined => plans.get(id),
		listPlans: (): Iterable<Readonly<Plan>> => plans.values(),
		findKey: (digest: string): CallerKey | undefined => keys.get(digest),
		findCustomer: (id: string): Customer | undefined => customers.get(id),
		findBudget: (id: string): BudgetRule | undefined => budgets.get(id),
		findModel: (name: string): Model | undefined => models.get(name),
		findService: (name: string): Service | undefined => services.get(name),
		findClass: (name: string): RequestClass | undefined => classes.get(name),
		listBudgets: (): Iterable<BudgetRule> => budgets.values(),
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

type Added = {
	readonly customers: Set<string>;
	readonly budgets: Map<string, BudgetRule>;
};
