/**
 * HTTP interface of a daemon for operators: status, budgets, intents and metrics.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type restana from 'restana';
import type {
	IntentManager, LogFollower, LogWriter, Membership, Metrics, PlanView,
} from '../coordination/mod.js';
import {
	createFailure, intentSchema, isSameSecret, type EventLog, type Failure, type Result,
} from '../protocol/mod.js';
import type {BudgetState, GrantHolder} from '../state/mod.js';
import {readBody, sendFailure, sendJson} from '../transport/mod.js';

/** Options of {@linkcode createOperatorInterface}. */
export type CreateOperatorInterfaceOptions = {
	readonly operatorKey: string;
	readonly follower: LogFollower;
	readonly writer: LogWriter;
	readonly membership: Membership;
	readonly events: EventLog;
	readonly metrics: Metrics;
	/** Set on entry daemons. */
	readonly intents?: IntentManager;
	/** Set on entry daemons. */
	readonly holder?: GrantHolder;
	readonly isReady: () => boolean;
	/** Returns the figures of this daemon that its status shows. */
	readonly getFigures: () => Readonly<Record<string, number>>;
};

const maxIntentBytes = 1_048_576;

type Handler = (request: restana.Request<restana.Protocol.HTTP>, response: ServerResponse) => Promise<void> | void;

/** @internal */
function sendResult<Value>(response: ServerResponse, result: Result<Value, Failure>): void {
	if (result.ok) {
		sendJson(response, result.val);
	} else {
		sendFailure(response, result.val);
	}
}

/**
 * Creates the routes for operators.
 *
 * @example
 * ```ts
 * await startHttpServer(address, createOperatorInterface(options).addRoutes);
 * ```
 *
 * @param options Log, peers and metrics
 * @returns The routes
 */
export function createOperatorInterface(options: CreateOperatorInterfaceOptions) {
	const {
		follower, writer, membership, events, metrics, intents, holder,
	} = options;

	function requireOperatorKey(handler: Handler): Handler {
		return async (request, response) => {
			const header = request.headers.authorization ?? '';
			if (!header.startsWith('Bearer ') || !isSameSecret(header.slice('Bearer '.length), options.operatorKey)) {
				events.write('operatorRefused');
				sendFailure(response, createFailure('unknown-key', 'The operator key is missing or wrong'));
				return;
			}

			await handler(request, response);
		};
	}

	function describeBudget(budget: Readonly<BudgetState>) {
		const {ledger, configuration} = follower.state();
		const rule = configuration.findBudget(budget.id);
		const granted = [...ledger.listGrants()].filter(grant => grant.budget === budget.id);
		return {
			...budget,
			customer: rule?.customer,
			weighs: rule?.weighs,
			remaining: ledger.computeRemaining(budget.id),
			granted: granted.reduce((sum, grant) => sum + grant.amount, 0),
			locked: granted.filter(grant => grant.waitsFor).reduce((sum, grant) => sum + grant.amount - grant.receipted, 0),
			freeHere: holder?.countFreeTokens(budget.id) ?? 0,
			reservedHere: holder?.countReservedTokens(budget.id) ?? 0,
		};
	}

	function describeStatus() {
		const {configuration, getNextOffset} = follower.state();
		return {
			daemon: membership.self.id,
			role: membership.self.role,
			incarnation: membership.self.incarnation,
			isLeaving: membership.self.isLeaving,
			isReady: options.isReady(),
			isLogUp: follower.isLogUp(),
			nextOffset: getNextOffset(),
			version: configuration.version(),
			appends: writer.countAppends(),
			figures: options.getFigures(),
			events: Object.fromEntries(events.counts),
		};
	}

	function listUpstreams() {
		return follower.state().placement.listUpstreams().map(member => {
			const peer = membership.get(member.daemon);
			return {
				...member, isAlive: membership.isAlive(member.daemon), isLeaving: membership.isLeaving(member.daemon), version: peer?.version ?? 0, load: peer?.load,
			};
		});
	}

	function listHosts() {
		return [...follower.state().placement.list()].map(member => ({
			daemon: member.daemon,
			role: member.role,
			failureDomain: member.failureDomain,
			address: member.address,
			isAlive: member.daemon === membership.self.id || membership.isAlive(member.daemon),
			isLeaving: membership.isLeaving(member.daemon),
			version: member.daemon === membership.self.id ? follower.state().configuration.version() : membership.get(member.daemon)?.version ?? 0,
		}));
	}

	async function readJsonBody(request: IncomingMessage): Promise<unknown> {
		const body = await readBody(request, maxIntentBytes);
		try {
			return body.ok ? JSON.parse(Buffer.from(body.val).toString()) : undefined;
		} catch {
			return undefined;
		}
	}

	async function planIntent(request: restana.Request<restana.Protocol.HTTP>, response: ServerResponse): Promise<void> {
		const parsed = intentSchema.safeParse(await readJsonBody(request));
		if (!parsed.success) {
			const issues = parsed.error.issues.map(issue => `${issue.path.join('.')}: ${issue.message}`).join('; ');
			sendFailure(response, createFailure('invalid-request', `The intent is invalid: ${issues}`));
			return;
		}

		sendResult(response, await intents!.plan(parsed.data, readOperator(request)));
	}

	function readOperator(request: IncomingMessage): string {
		return String(request.headers['x-operator'] ?? 'operator').slice(0, 64);
	}

	// Adds the number of live daemons, and of those at which the plan's version is in force.
	function describePlan(plan: PlanView) {
		const hosts = listHosts().filter(host => host.isAlive);
		const inForceCount = plan.version === undefined ? 0 : hosts.filter(host => host.version >= plan.version!).length;
		return {...plan, inForceAt: inForceCount, liveDaemons: hosts.length};
	}

	function sendPlan(response: ServerResponse, id: string): void {
		sendResult(response, intents!.findPlan(id).map(plan => describePlan(plan)));
	}

	function addIntentRoutes(service: restana.Service<restana.Protocol.HTTP>): void {
		service.post('/v1/intents', requireOperatorKey(planIntent));
		service.get('/v1/intents', requireOperatorKey((_request, response) => {
			sendJson(response, {plans: intents!.list()});
		}));
		service.get('/v1/intents/:id', requireOperatorKey((request, response) => {
			sendPlan(response, request.params.id ?? '');
		}));
		service.post('/v1/intents/:id/confirm', requireOperatorKey(async (request, response) => {
			sendResult(response, await intents!.confirm(request.params.id ?? '', readOperator(request)));
		}));
	}

	return {
		addRoutes(service: restana.Service<restana.Protocol.HTTP>): void {
			service.get('/healthz', (_request, response) => {
				sendJson(response, {alive: true});
			});
			service.get('/readyz', (_request, response) => {
				if (options.isReady()) {
					sendJson(response, {ready: true});
				} else {
					sendFailure(response, createFailure('not-ready', `Daemon "${membership.self.id}" is not ready`, {retryAfterMs: 1000}));
				}
			});
			service.get('/metrics', requireOperatorKey((_request, response) => {
				response.setHeader('content-type', 'text/plain; version=0.0.4');
				response.end(metrics.formatPrometheusText());
			}));
			service.get('/v1/metrics', requireOperatorKey((_request, response) => {
				sendJson(response, {rows: metrics.listRows()});
			}));
			service.get('/v1/status', requireOperatorKey((_request, response) => {
				sendJson(response, describeStatus());
			}));
			service.get('/v1/budgets', requireOperatorKey((_request, response) => {
				sendJson(response, {budgets: [...follower.state().ledger.listBudgets()].map(budget => describeBudget(budget))});
			}));
			service.get('/v1/budgets/:id', requireOperatorKey((request, response) => {
				const budget = follower.state().ledger.findBudget(request.params.id ?? '');
				if (budget) {
					sendJson(response, describeBudget(budget));
				} else {
					sendFailure(response, createFailure('unknown-object', `Budget "${request.params.id ?? ''}" does not exist`));
				}
			}));
			service.get('/v1/upstreams', requireOperatorKey((_request, response) => {
				sendJson(response, {upstreams: listUpstreams()});
			}));
			service.get('/v1/hosts', requireOperatorKey((_request, response) => {
				sendJson(response, {hosts: listHosts()});
			}));
			service.get('/v1/requests/:id', requireOperatorKey((request, response) => {
				const id = request.params.id ?? '';
				const {ledger, runs} = follower.state();
				sendJson(response, {request: id, billed: ledger.findBilledCost(id), run: runs.get(id)});
			}));
			if (intents) {
				addIntentRoutes(service);
			}
		},
	};
}
