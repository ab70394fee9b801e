/**
 * A small fleet of real processes before stand-ins, for the demo, the
 * measurements and the proofs.
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
import {createRelay, type Relay} from './relay.js';

/** Keys of the test fleet. */
export const fleetKeys = {fleet: 'fleet-key-of-a-test', operator: 'operator-key-of-a-test'} as const;

/** Options of {@linkcode startFleet}. */
export type StartFleetOptions = {
	readonly entries: number;
	/** Engines, each with its upstream daemon. */
	readonly engines: number;
	/** Booking services, each with its upstream daemon. */
	readonly bookings: number;
	/** What every engine is told at its start, such as its pace. */
	readonly engine?: Readonly<Record<string, unknown>>;
	/** Settings laid over every daemon's. */
	readonly settings?: Record<string, unknown>;
	/** Settings laid over every entry daemon's. */
	readonly entrySettings?: Record<string, unknown>;
	/** Settings laid over `upstream` of every upstream daemon. */
	readonly upstreamSettings?: Record<string, unknown>;
	/** Modules of the product replaced in every daemon, by path from the build folder; for proofs without a guard. */
	readonly replace?: Readonly<Record<string, string>>;
	/** Puts a relay on each daemon's way to the log and before each daemon, so that links can be cut; default false. */
	readonly relays?: boolean;
	readonly showLog?: boolean;
};

/** A daemon of the fleet. */
export type FleetDaemon = {
	process: FleetProcess;
	readonly id: string;
	readonly settings: Record<string, unknown>;
	/** The relay on its way to the log, when there is one. */
	readonly logRelay?: Relay;
	/** The relay between its peers and itself, when there is one. */
	readonly peerRelay?: Relay;
};

/** An upstream: its stand-in and its daemon. */
export type FleetUpstream = FleetDaemon & {readonly standIn: FleetProcess};

/** A budget as an entry daemon shows it; all amounts in tokens. */
export type BudgetFigures = Readonly<Record<'bought' | 'billed' | 'burnt' | 'refunded' | 'retired' | 'remaining' | 'granted' | 'locked' | 'freeHere', number>>;

/** A running test fleet. */
export type TestFleet = Awaited<ReturnType<typeof startFleet>>;

/* eslint-disable @typescript-eslint/naming-convention -- names of environment variables */
const secrets = {FIREFLYLANE_FLEET_KEY: fleetKeys.fleet, FIREFLYLANE_OPERATOR_KEY: fleetKeys.operator};
/* eslint-enable @typescript-eslint/naming-convention */
const program = 'src/daemon.js';
const readyPause = 50;
const readyBound = 20_000;

/**
 * Posts or gets a JSON document.
 *
 * @example
 * ```ts
 * await fetchDocument(`${url}/counts`);
 * ```
 *
 * @param url The address
 * @param body What to post; default nothing, a get
 * @returns The answered document
 */
export async function fetchDocument<Document>(url: string, body?: unknown): Promise<Document> {
	const answer = await fetch(url, {
		method: body === undefined ? 'GET' : 'POST',
		headers: {'content-type': 'application/json', authorization: `Bearer ${fleetKeys.operator}`},
		body: body === undefined ? undefined : JSON.stringify(body),
		signal: AbortSignal.timeout(readyBound),
	});
	return await answer.json() as Document;
}

/**
 * Waits until a condition holds.
 *
 * @example
 * ```ts
 * await waitUntil(async () => isReady(), 'the fleet is ready');
 * ```
 *
 * @param condition The condition
 * @param what What is waited for, for the error
 * @param bound Longest wait in milliseconds; default 20000
 * @throws When the bound passes first
 */
export async function waitUntil(condition: () => Promise<boolean> | boolean, what: string, bound = readyBound): Promise<void> {
	const until = Date.now() + bound;
	while (!await condition()) {
		if (Date.now() > until) {
			throw new Error(`Waited ${bound} ms in vain until ${what}`);
		}

		await wait(readyPause);
	}
}

/**
 * Starts a fleet.
 *
 * @example
 * ```ts
 * const fleet = await startFleet({entries: 2, engines: 2, bookings: 2});
 * await fleet.stop();
 * ```
 *
 * @param options How many of what
 * @returns The running fleet
 */
export async function startFleet(options: StartFleetOptions) {
	const folder = mkdtempSync(join(tmpdir(), 'fireflylane-'));
	const {showLog} = options;
	const log = await startProcess('log-service', {file: 'stand-ins/log-service.js'});
	const hostList = await startProcess('host-list', {file: 'stand-ins/host-list.js'});
	const entries: FleetDaemon[] = [];
	const upstreams: FleetUpstream[] = [];
	const relays: Relay[] = [];
	const started: FleetProcess[] = [log, hostList];

	function buildCommon(id: string, domain: number, peerRelay: Relay | undefined): Record<string, unknown> {
		return {
			id, failureDomain: `domain-${domain}`, advertise: peerRelay?.address,
			fleetKey: {environment: 'FIREFLYLANE_FLEET_KEY'}, operatorKey: {environment: 'FIREFLYLANE_OPERATOR_KEY'},
			hostList: {url: hostList.ready.url, every: '300ms'},
			...options.settings,
		};
	}

	async function startDaemon(settings: Record<string, unknown>, peerRelay?: Relay): Promise<FleetProcess> {
		const id = String(settings.id);
		const path = join(folder, `${id}.yaml`);
		writeFileSync(path, stringify(settings));
		const daemon = await startProcess(id, {
			file: program, args: ['--settings', path], showLog, environment: secrets, replace: options.replace,
		});
		peerRelay?.setTarget(`http://${daemon.ready.peers}`);
		started.push(daemon);
		return daemon;
	}

	async function openRelay(target?: string): Promise<Relay | undefined> {
		if (!options.relays) {
			return undefined;
		}

		const relay = await createRelay(target);
		relays.push(relay);
		return relay;
	}

	function buildLog(relay: Relay | undefined): Record<string, unknown> {
		const given = options.settings?.log as Record<string, unknown> | undefined;
		return {...given, url: relay?.url ?? log.ready.url};
	}

	async function addEntry(index: number): Promise<FleetDaemon> {
		const logRelay = await openRelay(log.ready.url);
		const peerRelay = await openRelay();
		const any = {host: '127.0.0.1', port: 0};
		const settings: Record<string, unknown> = {
			...buildCommon(`entry-${index}`, index, peerRelay), role: 'entry', log: buildLog(logRelay),
			listen: {callers: any, operators: any, peers: any}, ...options.entrySettings,
		};
		const daemon: FleetDaemon = {
			id: settings.id as string, settings, logRelay, peerRelay, process: await startDaemon(settings, peerRelay),
		};
		entries.push(daemon);
		return daemon;
	}

	async function addUpstream(index: number, work: 'model' | 'service'): Promise<FleetUpstream> {
		const standIn = await startProcess(`${work}-${index}`, {
			file: work === 'model' ? 'stand-ins/model-engine.js' : 'stand-ins/plain-service.js',
		});
		started.push(standIn);
		if (work === 'model' && options.engine) {
			await fetchDocument(`${standIn.ready.url}/control`, options.engine);
		}

		const logRelay = await openRelay(log.ready.url);
		const peerRelay = await openRelay();
		const any = {host: '127.0.0.1', port: 0};
		const settings: Record<string, unknown> = {
			...buildCommon(`up-${work}-${index}`, index, peerRelay), role: 'upstream', log: buildLog(logRelay),
			listen: {operators: any, peers: any},
			upstream: {
				work, url: standIn.ready.url, serves: [work === 'model' ? 'assistant' : 'bookings'], ...options.upstreamSettings,
			},
		};
		const daemon: FleetUpstream = {
			id: settings.id as string, settings, standIn, logRelay, peerRelay, process: await startDaemon(settings, peerRelay),
		};
		upstreams.push(daemon);
		return daemon;
	}

	const numbers = (count: number) => Array.from({length: count}, (_, index) => index + 1);
	await Promise.all([
		...numbers(options.entries).map(async index => addEntry(index)),
		...numbers(options.engines).map(async index => addUpstream(index, 'model')),
		...numbers(options.bookings).map(async index => addUpstream(index, 'service')),
	]);
	entries.sort((left, right) => left.id.localeCompare(right.id));
	upstreams.sort((left, right) => left.id.localeCompare(right.id));

	function pickOperator(): string {
		return entries.find(entry => !entry.process.hasExited())!.process.ready.operators;
	}

	async function setHosts(absent: readonly string[] = []): Promise<void> {
		const hosts = [...entries, ...upstreams].filter(daemon => !absent.includes(daemon.id)).map(daemon => ({id: daemon.id, state: 'live'}));
		await fetchDocument(`${hostList.ready.url}/control`, {hosts, lag: 200});
	}

	async function applyChanges(changes: readonly Change[]): Promise<number> {
		const operator = pickOperator();
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
		}, 'every daemon is ready with the version');
	}

	async function waitForPeers(): Promise<void> {
		await waitUntil(async () => {
			const urls = entries.map(entry => `${entry.process.ready.operators}/v1/hosts`);
			const answers = await Promise.all(urls.map(async url => fetchDocument<{hosts: Array<{isAlive: boolean}>}>(url)));
			return answers.every(({hosts}) => hosts.length === entries.length + upstreams.length && hosts.every(host => host.isAlive));
		}, 'every entry hears every daemon');
	}

	return {
		log, hostList, entries, upstreams, startDaemon, addUpstream, setHosts, applyChanges, waitForVersion, waitForPeers,

		/** Starts a daemon again with its settings, as on a replaced host. */
		async restart(daemon: FleetDaemon): Promise<void> {
			daemon.process = await startDaemon(daemon.settings, daemon.peerRelay);
		},

		/** Sets up customers with one key and budget each, a model and a booking service. */
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

		async findBudget(budget: string) {
			return fetchDocument<BudgetFigures>(`${pickOperator()}/v1/budgets/${budget}`);
		},

		/** What each process wrote, in the order of their starts. */
		listLogs: () => started.map(({name, readLog}) => ({name, text: readLog()})),

		/** Ends every process that this fleet started. */
		async stop(): Promise<void> {
			await Promise.all([...entries, ...upstreams].map(async daemon => daemon.process.hasExited() ? 0 : daemon.process.stop()));
			await Promise.all(started.map(async item => item.hasExited() ? undefined : item.kill()));
			for (const relay of relays) {
				relay.close();
			}

			rmSync(folder, {recursive: true, force: true});
		},

		/** Kills every process that this fleet started. */
		async kill(): Promise<void> {
			await Promise.all(started.map(async item => item.hasExited() ? undefined : item.kill()));
			for (const relay of relays) {
				relay.close();
			}

			rmSync(folder, {recursive: true, force: true});
		},
	};
}
