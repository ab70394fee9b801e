/**
 * A small fleet of real daemon processes with stand-ins for engines, services,
 * the log and the host list. The demo, the measurements and the proofs use it.
 *
 * @module
 */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as wait} from 'node:timers/promises';
import {stringify} from 'yaml';
import {computeDigest, type Change} from '../../src/protocol/mod.js';
import {startProcess, type FleetProcess} from './process.js';
import {createTcpProxy, type TcpProxy} from './tcp-proxy.js';

/** Fleet key and operator key of the test fleet. */
export const fleetKeys = {fleet: 'fleet-key-of-a-test', operator: 'operator-key-of-a-test'} as const;

/** Options of {@linkcode startFleet}. */
export type StartFleetOptions = {
	readonly entries: number;
	/** Number of engines, each with its own upstream daemon. */
	readonly engines: number;
	/** Number of booking services, each with its own upstream daemon. */
	readonly bookings: number;
	/** Control values that are sent to every engine at its start, such as its pace. */
	readonly engine?: Readonly<Record<string, unknown>>;
	/** Settings that override those of every daemon. */
	readonly settings?: Record<string, unknown>;
	/** Settings that override those of every entry daemon. */
	readonly entrySettings?: Record<string, unknown>;
	/** Settings that override `upstream` of every upstream daemon. */
	readonly upstreamSettings?: Record<string, unknown>;
	/** Product modules to replace in every daemon, as paths relative to the build folder; for proofs that run without a guard. */
	readonly replacedModules?: Readonly<Record<string, string>>;
	/** Whether a TCP proxy is placed between each daemon and the log, and in front of each daemon's peer address, so that links can be partitioned; default false. */
	readonly hasProxies?: boolean;
	readonly showLog?: boolean;
};

/** A daemon of the test fleet. */
export type FleetDaemon = {
	process: FleetProcess;
	readonly id: string;
	readonly settings: Record<string, unknown>;
	/** Proxy between this daemon and the log. */
	readonly logProxy?: TcpProxy;
	/** Proxy between this daemon's peers and its peer address. */
	readonly peerProxy?: TcpProxy;
};

/** An upstream daemon with the stand-in that it serves. */
export type FleetUpstream = FleetDaemon & {readonly standIn: FleetProcess};

/** Amounts of a budget as an entry daemon reports them, in tokens. */
export type BudgetAmounts = Readonly<Record<'bought' | 'billed' | 'burnt' | 'refunded' | 'retired' | 'remaining' | 'granted' | 'locked' | 'freeHere', number>>;

/** A running test fleet. */
export type TestFleet = Awaited<ReturnType<typeof startFleet>>;

/* eslint-disable @typescript-eslint/naming-convention -- names of environment variables */
const secrets = {FIREFLYLANE_FLEET_KEY: fleetKeys.fleet, FIREFLYLANE_OPERATOR_KEY: fleetKeys.operator};
/* eslint-enable @typescript-eslint/naming-convention */
const daemonProgram = 'src/daemon.js';
const pollIntervalMs = 50;
const readyTimeoutMs = 20_000;

/**
 * Sends a GET or POST request with the operator key and parses the JSON response.
 *
 * @example
 * ```ts
 * await fetchDocument(`${url}/counts`);
 * ```
 *
 * @param url The URL
 * @param body Request body; without one the request is a GET
 * @returns The parsed response body
 */
export async function fetchDocument<Document>(url: string, body?: unknown): Promise<Document> {
	const response = await fetch(url, {
		method: body === undefined ? 'GET' : 'POST',
		headers: {'content-type': 'application/json', authorization: `Bearer ${fleetKeys.operator}`},
		body: body === undefined ? undefined : JSON.stringify(body),
		signal: AbortSignal.timeout(readyTimeoutMs),
	});
	return await response.json() as Document;
}

/**
 * Polls until a condition holds.
 *
 * @example
 * ```ts
 * await waitUntil(async () => isReady(), 'the fleet is ready');
 * ```
 *
 * @param condition Returns whether to stop waiting
 * @param description The condition in words, for the error message
 * @param timeoutMs Timeout in milliseconds; default 20000
 * @throws If the condition does not hold within the timeout
 */
export async function waitUntil(condition: () => Promise<boolean> | boolean, description: string, timeoutMs = readyTimeoutMs): Promise<void> {
	const deadline = Date.now() + timeoutMs;
	while (!await condition()) {
		if (Date.now() > deadline) {
			throw new Error(`Timed out after ${timeoutMs} ms waiting until ${description}`);
		}

		await wait(pollIntervalMs);
	}
}

/**
 * Starts a test fleet and waits for the ready line of each process.
 *
 * @example
 * ```ts
 * const fleet = await startFleet({entries: 2, engines: 2, bookings: 2});
 * await fleet.stop();
 * ```
 *
 * @param options Number of daemons of each kind and their settings
 * @returns The running fleet
 */
export async function startFleet(options: StartFleetOptions) {
	const folder = mkdtempSync(join(tmpdir(), 'fireflylane-'));
	const {showLog} = options;
	const log = await startProcess('log-service', {file: 'stand-ins/log-service.js'});
	const hostList = await startProcess('host-list', {file: 'stand-ins/host-list.js'});
	const entries: FleetDaemon[] = [];
	const upstreams: FleetUpstream[] = [];
	const proxies: TcpProxy[] = [];
	const processes: FleetProcess[] = [log, hostList];

	function buildCommonSettings(id: string, domainNumber: number, peerProxy: TcpProxy | undefined): Record<string, unknown> {
		return {
			id, failureDomain: `domain-${domainNumber}`, advertise: peerProxy?.address,
			fleetKey: {environment: 'FIREFLYLANE_FLEET_KEY'}, operatorKey: {environment: 'FIREFLYLANE_OPERATOR_KEY'},
			hostList: {url: hostList.ready.url, every: '300ms'},
			...options.settings,
		};
	}

	async function startDaemon(settings: Record<string, unknown>, peerProxy?: TcpProxy): Promise<FleetProcess> {
		const id = String(settings.id);
		const path = join(folder, `${id}.yaml`);
		writeFileSync(path, stringify(settings));
		const daemon = await startProcess(id, {
			file: daemonProgram, args: ['--settings', path], showLog, environment: secrets, replacedModules: options.replacedModules,
		});
		peerProxy?.setTarget(`http://${daemon.ready.peers}`);
		processes.push(daemon);
		return daemon;
	}

	async function createProxyIfEnabled(target?: string): Promise<TcpProxy | undefined> {
		if (!options.hasProxies) {
			return undefined;
		}

		const proxy = await createTcpProxy(target);
		proxies.push(proxy);
		return proxy;
	}

	function buildLogSettings(proxy: TcpProxy | undefined): Record<string, unknown> {
		const logSettings = options.settings?.log as Record<string, unknown> | undefined;
		return {...logSettings, url: proxy?.url ?? log.ready.url};
	}

	async function addEntry(index: number): Promise<FleetDaemon> {
		const logProxy = await createProxyIfEnabled(log.ready.url);
		const peerProxy = await createProxyIfEnabled();
		const anyPort = {host: '127.0.0.1', port: 0};
		const settings: Record<string, unknown> = {
			...buildCommonSettings(`entry-${index}`, index, peerProxy), role: 'entry', log: buildLogSettings(logProxy),
			listen: {callers: anyPort, operators: anyPort, peers: anyPort}, ...options.entrySettings,
		};
		const daemon: FleetDaemon = {
			id: settings.id as string, settings, logProxy, peerProxy, process: await startDaemon(settings, peerProxy),
		};
		entries.push(daemon);
		return daemon;
	}

	async function addUpstream(index: number, work: 'model' | 'service'): Promise<FleetUpstream> {
		const standIn = await startProcess(`${work}-${index}`, {
			file: work === 'model' ? 'stand-ins/model-engine.js' : 'stand-ins/plain-service.js',
		});
		processes.push(standIn);
		if (work === 'model' && options.engine) {
			await fetchDocument(`${standIn.ready.url}/control`, options.engine);
		}

		const logProxy = await createProxyIfEnabled(log.ready.url);
		const peerProxy = await createProxyIfEnabled();
		const anyPort = {host: '127.0.0.1', port: 0};
		const settings: Record<string, unknown> = {
			...buildCommonSettings(`up-${work}-${index}`, index, peerProxy), role: 'upstream', log: buildLogSettings(logProxy),
			listen: {operators: anyPort, peers: anyPort},
			upstream: {
				work, url: standIn.ready.url, serves: [work === 'model' ? 'assistant' : 'bookings'], ...options.upstreamSettings,
			},
		};
		const daemon: FleetUpstream = {
			id: settings.id as string, settings, standIn, logProxy, peerProxy, process: await startDaemon(settings, peerProxy),
		};
		upstreams.push(daemon);
		return daemon;
	}

	const listNumbers = (count: number) => Array.from({length: count}, (_, index) => index + 1);
	await Promise.all([
		...listNumbers(options.entries).map(async index => addEntry(index)),
		...listNumbers(options.engines).map(async index => addUpstream(index, 'model')),
		...listNumbers(options.bookings).map(async index => addUpstream(index, 'service')),
	]);
	entries.sort((left, right) => left.id.localeCompare(right.id));
	upstreams.sort((left, right) => left.id.localeCompare(right.id));

	function pickOperatorUrl(): string {
		return entries.find(entry => !entry.process.hasExited())!.process.ready.operators;
	}

	async function setHosts(absentIds: readonly string[] = []): Promise<void> {
		const hosts = [...entries, ...upstreams].filter(daemon => !absentIds.includes(daemon.id)).map(daemon => ({id: daemon.id, state: 'live'}));
		await fetchDocument(`${hostList.ready.url}/control`, {hosts, lag: 200});
	}

	async function applyChanges(changes: readonly Change[]): Promise<number> {
		const operator = pickOperatorUrl();
		const plan = await fetchDocument<{plan: string; detail?: string}>(`${operator}/v1/intents`, {changes});
		const confirmed = await fetchDocument<{version?: number; detail?: string}>(`${operator}/v1/intents/${plan.plan}/confirm`, {});
		if (confirmed.version === undefined) {
			throw new Error(`The changes were not accepted: ${plan.detail ?? confirmed.detail ?? ''}`);
		}

		return confirmed.version;
	}

	async function waitForVersion(version: number): Promise<void> {
		await waitUntil(async () => {
			const urls = [...entries, ...upstreams].map(daemon => `${daemon.process.ready.operators}/v1/status`);
			const statuses = await Promise.all(urls.map(async url => fetchDocument<{version: number; isReady: boolean}>(url)));
			return statuses.every(status => status.isReady && status.version >= version);
		}, 'every daemon is ready and has the configuration version');
	}

	async function waitForPeers(): Promise<void> {
		await waitUntil(async () => {
			const urls = entries.map(entry => `${entry.process.ready.operators}/v1/hosts`);
			const answers = await Promise.all(urls.map(async url => fetchDocument<{hosts: Array<{isAlive: boolean}>}>(url)));
			return answers.every(({hosts}) => hosts.length === entries.length + upstreams.length && hosts.every(host => host.isAlive));
		}, 'every entry receives heartbeats from every daemon');
	}

	return {
		log, hostList, entries, upstreams, startDaemon, addUpstream, setHosts, applyChanges, waitForVersion, waitForPeers,

		/** Starts a new process with the settings of a daemon, as on a replaced host. */
		async restart(daemon: FleetDaemon): Promise<void> {
			daemon.process = await startDaemon(daemon.settings, daemon.peerProxy);
		},

		/** Configures a model, a booking service and customers with one key and one budget each, and waits until every daemon has the configuration. */
		async configure(customers: ReadonlyArray<{name: string; key: string; tokens: number; weighs?: 'refusals' | 'overspend'}>, service: Record<string, unknown> = {}): Promise<void> {
			const changes: Change[] = [
				{change: 'put-model', model: {name: 'assistant', maxTokens: 400}},
				{
					change: 'put-service', service: {
						name: 'bookings', cost: 50, idempotent: false, withoutLog: 'refuse', ...service,
					},
				},
			];
			for (const customer of customers) {
				const budget = `${customer.name}-budget`;
				changes.push(
					{change: 'put-customer', customer: {id: customer.name, priority: 5}},
					{change: 'put-budget', budget: {id: budget, customer: customer.name, weighs: customer.weighs ?? 'refusals'}},
					{change: 'put-key', key: {digest: computeDigest(customer.key), customer: customer.name, budget}},
					{change: 'top-up', budget, tokens: customer.tokens},
				);
			}

			await setHosts();
			await waitForVersion(0);
			const version = await applyChanges(changes);
			await waitForVersion(version);
			await waitForPeers();
		},

		async readBudget(budget: string) {
			return fetchDocument<BudgetAmounts>(`${pickOperatorUrl()}/v1/budgets/${budget}`);
		},

		/** Returns the output of each process, in the order in which they were started. */
		listLogs: () => processes.map(({name, readLog}) => ({name, text: readLog()})),

		/** Stops the daemons gracefully, kills the stand-ins and deletes the settings files. */
		async stop(): Promise<void> {
			await Promise.all([...entries, ...upstreams].map(async daemon => daemon.process.hasExited() ? 0 : daemon.process.stop()));
			await Promise.all(processes.map(async item => item.hasExited() ? undefined : item.kill()));
			for (const proxy of proxies) {
				proxy.close();
			}

			rmSync(folder, {recursive: true, force: true});
		},

		/** Kills all processes and deletes the settings files. */
		async kill(): Promise<void> {
			await Promise.all(processes.map(async item => item.hasExited() ? undefined : item.kill()));
			for (const proxy of proxies) {
				proxy.close();
			}

			rmSync(folder, {recursive: true, force: true});
		},
	};
}
