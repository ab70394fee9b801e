/**
 * Stand-ins of the platform for the cases of the second review: a store with
 * keyed topics, engines of a plain service and of a model, and the project's own
 * programs as separate processes with the commands of the deploy file.
 */
/* eslint-disable camelcase -- The configuration and the registrations have the names of the platform. */
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {
	appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer, request as sendHttp} from 'node:http';
import {createServer as createTcpServer} from 'node:net';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';

export const host = 'callers.example';
export const hasTrouble = process.env.TROUBLE !== '0';

/** Waits. */
export async function sleep(ms) {
	return new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

/** Writes lines to `record.txt` in the folder of a case, from the start of the script on. */
export function openRecord(folder) {
	const file = path.join(folder, 'record.txt');
	const startedAt = performance.now();
	writeFileSync(file, `disruption: ${hasTrouble ? 'yes' : 'no (TROUBLE=0)'}\n`);
	return (...words) => {
		appendFileSync(file, `${((performance.now() - startedAt) / 1000).toFixed(3).padStart(8)} s  ${words.join(' ')}\n`);
	};
}

async function listen(server) {
	return new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(0, '127.0.0.1', () => {
			resolve(server.address().port);
		});
	});
}

/** Finds free ports on loopback. */
export async function findPorts(count) {
	const servers = Array.from({length: count}, () => createTcpServer());
	const ports = [];
	for (const server of servers) {
		ports.push(await listen(server));
	}

	for (const server of servers) {
		server.close();
	}

	return ports;
}

/** Calls a handler; if the other side breaks its connection meanwhile, closes it as well. */
function handleRequest(handler) {
	return async (message, response) => {
		try {
			await handler(message, response);
		} catch (error) {
			if (error.code !== 'ECONNRESET') {
				throw error;
			}

			response.destroy();
		}
	};
}

async function readBody(message) {
	const chunks = [];
	for await (const chunk of message) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
}

/** The platform's store, as PROTOCOL.md tells it: keyed topics with one partition, conditional appends, and reads that wait. */
export async function startStore() {
	const topics = new Map();
	const waiters = new Set();

	function getTopic(name) {
		if (!topics.has(name)) {
			topics.set(name, {records: [], newest: new Map()});
		}

		return topics.get(name);
	}

	function wake() {
		for (const waiter of waiters) {
			waiter();
		}
	}

	function putPayload(topic, payload) {
		const offset = topic.records.length;
		const keyEnd = 1 + payload[0];
		const key = payload.subarray(1, keyEnd).toString();
		topic.records.push(payload);
		topic.newest.delete(key);
		if (keyEnd < payload.length) {
			topic.newest.set(key, {value: payload.subarray(keyEnd), offset});
		}
	}

	async function waitForRecord(topic, from, ms) {
		const until = performance.now() + ms;
		while (topic.records.length <= from && performance.now() < until) {
			await new Promise(resolve => {
				const finish = () => {
					waiters.delete(finish);
					clearTimeout(timer);
					resolve();
				};

				const timer = setTimeout(finish, until - performance.now());
				waiters.add(finish);
			});
		}
	}

	function sendJson(response, status, document) {
		response.writeHead(status, {'content-type': 'application/json', 'store-era': '1'});
		response.end(JSON.stringify(document));
	}

	const server = createServer(handleRequest(async (message, response) => {
		const url = new URL(message.url, 'http://store');
		const topic = getTopic(url.searchParams.get('topic'));
		const body = await readBody(message);
		if (url.pathname === '/-/log-append') {
			const at = url.searchParams.get('at');
			const end = topic.records.length;
			if (at !== null && Number(at) !== end) {
				sendJson(response, 412, {end});
				return;
			}

			for (let from = 0; from < body.length;) {
				const length = body.readUInt32BE(from);
				putPayload(topic, body.subarray(from + 4, from + 4 + length));
				from += 4 + length;
			}

			wake();
			sendJson(response, 200, {offset: end, end: topic.records.length});
			return;
		}

		if (url.pathname === '/-/log-newest') {
			sendJson(response, 200, {
				items: [...topic.newest].map(([key, {value, offset}]) => ({key, value: value.toString('base64'), offset})), has_more: false, end: topic.records.length,
			});
			return;
		}

		if (url.pathname === '/-/log-read') {
			const from = Number(url.searchParams.get('from'));
			await waitForRecord(topic, from, Number(url.searchParams.get('wait_ms') ?? 0));
			if (from > topic.records.length) {
				sendJson(response, 410, {first: 0});
				return;
			}

			const header = Buffer.alloc(16);
			header.writeBigUInt64BE(BigInt(topic.records.length), 0);
			const frames = topic.records.slice(from).flatMap(record => {
				const length = Buffer.alloc(4);
				length.writeUInt32BE(record.length);
				return [length, record];
			});
			response.writeHead(200, {'store-era': '1'});
			response.end(Buffer.concat([header, ...frames]));
			return;
		}

		sendJson(response, 404, {});
	}));
	server.keepAliveTimeout = 60_000;
	const port = await listen(server);
	return {
		address: `127.0.0.1:${port}`,
		put(name, key, document) {
			const keyBytes = Buffer.from(key);
			putPayload(getTopic(name), Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, Buffer.from(document === undefined ? '' : JSON.stringify(document))]));
			wake();
		},
		listNewest: name => [...getTopic(name).newest].map(([key, {value}]) => [key, JSON.parse(value.toString())]),
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
}

/** An engine. `answer` gets the message, its body and the response, and answers. The engine registers itself every 1.2 s. */
export async function startEngine({id, store, service, answer, version = 'v1', slots = 64}) {
	const runs = [];
	const bornAt = Date.now();
	const server = createServer(handleRequest(async (message, response) => {
		if (message.url === '/-/report') {
			response.end(JSON.stringify({born: bornAt, seq: 1}));
			return;
		}

		const attempt = message.headers['fireflylane-attempt-id'];
		if (attempt !== undefined) {
			response.setHeader('Fireflylane-Attempt-Id', attempt);
		}

		if (message.headers['fireflylane-expect-instance'] !== id) {
			response.writeHead(421);
			response.end();
			return;
		}

		const body = await readBody(message);
		runs.push({
			id: attempt, rawHeaders: message.rawHeaders, headers: message.headers, url: message.url, at: performance.now(),
		});
		response.setHeader('Fireflylane-Server-Stamp', `stamp-of-${id}`);
		await answer(message, response, body);
	}));
	server.keepAliveTimeout = 60_000;
	server.maxHeadersCount = 0;
	const port = await listen(server);
	let sequence = 0;
	const register = () => {
		sequence += 1;
		store.put('keyed.servers', id, {
			seq: sequence, service, address: `127.0.0.1:${port}`, zone: 'z1', slots, state: 'ready', cold_left_ms: 0, version, born: bornAt,
		});
	};

	register();
	const timer = setInterval(register, 1200);
	return {
		id, runs, address: `127.0.0.1:${port}`,
		close() {
			clearInterval(timer);
			server.close();
			server.closeAllConnections();
		},
	};
}

/** Reads the command of a role from the deploy file. */
function readCommand(role) {
	const text = readFileSync('deploy/system.toml', 'utf8');
	const section = text.slice(text.indexOf(`[roles.${role}]`));
	const [program, ...options] = /^run = "(?<run>[^"]*)"$/m.exec(section).groups.run.split(' ');
	return {program, options};
}

/** Starts a gateway with settings like those of `DEPLOY.md`. */
export async function startGateway({name, store, bootstrap, memoryMb = 200, maxFds = 4100, ports, folder}) {
	const {program, options} = readCommand('gateway');
	const [front, ready, control, base] = ports;
	const file = path.join(folder, `${name}.toml`);
	writeFileSync(file, `node_name = "${name}"
role = "gateway"
machine_class = "front"
serves = ["front","control"]
ip = "127.0.0.1"
zone = "z1"
region = "r1"
port_range = [${base},${base + 15}]
seeds = []
bootstrap = ${bootstrap}
heartbeat_ms = 1200
[zones]
z1 = "r1"
[listen]
front = "127.0.0.1:${front}"
ready = "127.0.0.1:${ready}"
control = "127.0.0.1:${control}"
[limits]
cpu_share = 0.513
cores = 1
memory_mb = ${memoryMb}
max_fds = ${maxFds}
link_mbps = 1000.0
disk_mb = 0
[bounds]
drain_ms = 2000
grace_s = 8
retry_budget_ratio = 0.2
retry_budget_slack = 54
settle_ms = 1500
[platform]
address = "${store.address}"
form = "log"
`);
	const child = spawn(program, [...options, '--metrics', '0'], {
		env: {PATH: process.env.PATH, HOME: process.env.HOME, FIREFLYLANE_NODE_FILE: file}, stdio: ['ignore', 'pipe', 'pipe'],
	});
	const log = [];
	const state = {exit: undefined};
	child.stdout.on('data', data => log.push(data));
	child.stderr.on('data', data => log.push(data));
	child.once('exit', (code, signal) => {
		state.exit = `code ${code}, signal ${signal}`;
	});
	return {
		name, child, frontPort: front, readyPort: ready,
		getExit: () => state.exit,
		readLog: () => Buffer.concat(log).toString(),
		/** Resident memory that belongs to the process alone, in MB of 1,000,000 bytes. */
		readMemoryMb() {
			const status = readFileSync(`/proc/${child.pid}/status`, 'utf8');
			return Number(/^RssAnon:\s+(?<kb>\d+)/m.exec(status)?.groups.kb ?? 0) * 1024 / 1_000_000;
		},
		async waitUntilReady(timeoutMs = 15_000) {
			const until = performance.now() + timeoutMs;
			while (performance.now() < until && state.exit === undefined) {
				const {status} = await call({port: ready, path: '/-/readiness', method: 'GET'});
				if (status === 200) {
					return true;
				}

				await sleep(50);
			}

			return false;
		},
		async kill(signal = 'SIGKILL') {
			if (state.exit === undefined) {
				child.kill(signal);
				await new Promise(resolve => {
					child.once('exit', resolve);
				});
			}
		},
	};
}

/** Sends one request on a connection of its own. `status` is 0 if there was no answer. */
export async function call({port, path: target, method = 'POST', headers = {}, body, timeoutMs = 5000}) {
	return new Promise(resolve => {
		const outgoing = sendHttp({
			host: '127.0.0.1', port, path: target, method, headers, agent: false, timeout: timeoutMs,
		}, async response => {
			try {
				const bytes = await readBody(response);
				resolve({
					status: response.statusCode, headers: response.headers, body: bytes.toString(), isWhole: response.complete,
				});
			} catch (error) {
				resolve({
					status: response.statusCode, headers: response.headers, body: '', isWhole: false, error: error.message,
				});
			}
		});
		outgoing.on('timeout', () => outgoing.destroy(new Error('no answer in time')));
		outgoing.on('error', error => {
			resolve({
				status: 0, headers: {}, body: '', isWhole: false, error: error.message,
			});
		});
		outgoing.end(body);
	});
}

/** Creates a temporary folder, and removes it at the end. */
export function createFolder() {
	const folder = mkdtempSync(path.join(os.tmpdir(), 'fireflylane-review-'));
	return {
		folder,
		remove() {
			rmSync(folder, {recursive: true, force: true});
		},
	};
}

/**
 * Runs a case: `play` gets a folder for settings and a list of what is to be closed, and returns true if the rule held.
 * Everything that was started is ended.
 */
export async function runCase(folder, play) {
	const record = openRecord(folder);
	const temporary = createFolder();
	const opened = [];
	const state = {isOver: false};

	async function finish(result) {
		if (state.isOver) {
			return;
		}

		state.isOver = true;
		for (const item of opened.toReversed()) {
			await (item.kill ?? item.close)();
		}

		temporary.remove();
		record(['result: the rule held', 'result: the rule was broken', 'result: the case could not run'][result]);
		process.stdout.write(readFileSync(path.join(folder, 'record.txt')));
		process.exit(result); // eslint-disable-line unicorn/no-process-exit
	}

	// A fault of the script or of a stand-in says nothing about the rule.
	async function giveUp(error) {
		if (!state.isOver) {
			record(`the case could not run: ${error?.stack ?? error}`);
			await finish(2);
		}
	}

	process.on('uncaughtException', giveUp);
	try {
		await finish(await play({record, folder: temporary.folder, opened}) ? 0 : 1);
	} catch (error) {
		await giveUp(error);
	}
}

/** Starts gateways on a store with a configuration and waits until they are ready. */
export async function startGateways({store, opened, folder, names, memoryMb, bootstrap = true}) {
	const gateways = [];
	for (const name of names) {
		const ports = await findPorts(3);
		const gateway = await startGateway({
			name, store, bootstrap, memoryMb, ports: [...ports, 0], folder,
		});
		opened.push(gateway);
		gateways.push(gateway);
	}

	const areReady = await Promise.all(gateways.map(async gateway => gateway.waitUntilReady()));
	if (!areReady.every(Boolean)) {
		throw new Error(`a gateway did not become ready: ${gateways.map(gateway => gateway.readLog()).join('\n')}`);
	}

	return gateways;
}

/** A small configuration with one plain service and one model. */
export function buildConfig({version = 1, prepaid = 1_000_000, timeoutMs = 4000} = {}) {
	const route = (name, kind, service, extra = {}) => ({
		name, host, path_prefix: `/${name}/`, kind, timeout_ms: timeoutMs, latency_target_ms: 600, priority: 1, service, attempts: 2, public: false, session_affinity: false, stream_resume: false, gap_goal_ms: 500, ...extra,
	});
	return {
		version,
		routes: [
			route('chat', 'stream', 'model', {session_affinity: true, attempts: 1}),
			route('holds', 'unsafe', 'beds', {attempts: 1}),
			route('queries', 'safe', 'beds'),
		],
		services: [{
			name: 'model', health_check: '/healthz', max_conns: 360, protocol: 'h1', tls: false, engine: {
				slots: 64, kv_capacity_tokens: 355_098, kv_token_bytes: 35_136, link_mbps: 740_000, moves: true, backups: true, stride: 4, models: [{name: 'm'}],
			},
		}, {
			name: 'beds', health_check: '/healthz', max_conns: 100, protocol: 'h1', tls: false,
		}],
		limits: {
			max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
		},
		tenants: [{
			name: 'city', api_keys: ['key-of-the-city-0000'], priority: 1, prepaid,
		}],
	};
}
