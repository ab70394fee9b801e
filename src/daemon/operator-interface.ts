/**
 * What a daemon answers operators: status, budgets, intents, metrics.
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
	/** Figures of the daemon's own, for status. */
	readonly countFigures: () => Readonly<Record<string, number>>;
};

const largestIntent = 1_048_576;

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

	function guard(handler: Handler): Handler {
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
			figures: options.countFigures(),
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

	async function readIntent(request: IncomingMessage): Promise<unknown> {
		const body = await readBody(request, largestIntent);
		try {
			return body.ok ? JSON.parse(Buffer.from(body.val).toString()) : undefined;
		} catch {
			return undefined;
		}
	}

	async function planIntent(request: restana.Request<restana.Protocol.HTTP>, response: ServerResponse): Promise<void> {
		const parsed = intentSchema.safeParse(await readIntent(request));
		if (!parsed.success) {
			const issues = parsed.error.issues.map(issue => `${issue.path.join('.')}: ${issue.message}`).join('; ');
			sendFailure(response, createFailure('invalid-request', `The intent is wrong: ${issues}`));
			return;
		}

		sendResult(response, await intents!.plan(parsed.data, readOperator(request)));
	}

	function readOperator(request: IncomingMessage): string {
		return String(request.headers['x-operator'] ?? 'operator').slice(0, 64);
	}

	// Tells at how many live daemons a plan's version is in force.
	function describeSpread(plan: PlanView) {
		const hosts = listHosts().filter(host => host.isAlive);
		const inForce = plan.version === undefined ? 0 : hosts.filter(host => host.version >= plan.version!).length;
		return {...plan, inForceAt: inForce, liveDaemons: hosts.length};
	}

	function sendPlan(response: ServerResponse, id: string): void {
		sendResult(response, intents!.findPlan(id).map(plan => describeSpread(plan)));
	}

	function addIntentRoutes(service: restana.Service<restana.Protocol.HTTP>): void {
		service.post('/v1/intents', guard(planIntent));
		service.get('/v1/intents', guard((_request, response) => {
			sendJson(response, {plans: intents!.list()});
		}));
		service.get('/v1/intents/:id', guard((request, response) => {
			sendPlan(response, request.params.id ?? '');
		}));
		service.post('/v1/intents/:id/confirm', guard(async (request, response) => {
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
			service.get('/metrics', guard((_request, response) => {
				response.setHeader('content-type', 'text/plain; version=0.0.4');
				response.end(metrics.formatPrometheusText());
			}));
			service.get('/v1/metrics', guard((_request, response) => {
				sendJson(response, {rows: metrics.listRows()});
			}));
			service.get('/v1/status', guard((_request, response) => {
				sendJson(response, describeStatus());
			}));
			service.get('/v1/budgets', guard((_request, response) => {
				sendJson(response, {budgets: [...follower.state().ledger.listBudgets()].map(budget => describeBudget(budget))});
			}));
			service.get('/v1/budgets/:id', guard((request, response) => {
				const budget = follower.state().ledger.findBudget(request.params.id ?? '');
				if (budget) {
					sendJson(response, describeBudget(budget));
				} else {
					sendFailure(response, createFailure('unknown-object', `There is no budget "${request.params.id ?? ''}"`));
				}
			}));
			service.get('/v1/upstreams', guard((_request, response) => {
				sendJson(response, {upstreams: listUpstreams()});
			}));
			service.get('/v1/hosts', guard((_request, response) => {
				sendJson(response, {hosts: listHosts()});
			}));
			service.get('/v1/requests/:id', guard((request, response) => {
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
