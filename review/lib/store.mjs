/**
 * Stand-in for the platform's store: keyed topics with one partition each.
 *
 * @module
 */
/* eslint-disable camelcase -- names of the platform */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';

/** Encodes the content of a record of a keyed topic: length of the key, key, value. */
function encodeContent(key, value) {
	const name = Buffer.from(key);
	return Buffer.concat([Buffer.from([name.length]), name, Buffer.from(value ?? '')]);
}

/** Splits raw records, each of which follows its length. */
function splitRecords(bytes) {
	const records = [];
	for (let from = 0; from < bytes.length;) {
		const length = bytes.readUInt32BE(from);
		records.push(bytes.subarray(from + 4, from + 4 + length));
		from += 4 + length;
	}

	return records;
}

/** Precedes a record with its length. */
function frameRecord(content) {
	const length = Buffer.alloc(4);
	length.writeUInt32BE(content.length);
	return Buffer.concat([length, content]);
}

async function readBytes(stream) {
	const chunks = [];
	for await (const chunk of stream) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
}

/**
 * Starts the store. `mode` is `up`, `silent` (accepts calls and answers none) or
 * `reset` (closes the connection of each call).
 */
export async function startStore({host, era}) {
	const topics = new Map();
	const waiters = new Set();
	const state = {mode: 'up', era, calls: 0};
	let copy = new Map();

	function getTopic(name) {
		const topic = topics.get(name) ?? {records: [], newest: new Map()};
		topics.set(name, topic);
		return topic;
	}

	function wakeWaiters() {
		for (const wake of waiters) {
			wake();
		}
	}

	function putContent(topic, content) {
		const keyEnd = 1 + content[0];
		const key = content.subarray(1, keyEnd).toString();
		topic.newest.delete(key);
		if (keyEnd < content.length) {
			topic.newest.set(key, {value: content.subarray(keyEnd), offset: topic.records.length});
		}

		topic.records.push(content);
	}

	function send(response, status, document) {
		response.writeHead(status, {'Content-Type': 'application/json'});
		response.end(JSON.stringify(document));
	}

	function append(response, query, bytes) {
		const topic = getTopic(query.get('topic'));
		const offset = topic.records.length;
		const at = query.get('at');
		if (at !== null && Number(at) !== offset) {
			send(response, 412, {end: offset});
			return;
		}

		for (const content of splitRecords(bytes)) {
			putContent(topic, content);
		}

		wakeWaiters();
		send(response, 200, {offset, end: topic.records.length});
	}

	async function waitForRecord(name, from, timeoutMs) {
		await new Promise(resolve => {
			const finish = () => {
				waiters.delete(wake);
				clearTimeout(timer);
				resolve();
			};

			const wake = () => {
				if (getTopic(name).records.length !== from) {
					finish();
				}
			};

			const timer = setTimeout(finish, timeoutMs);
			waiters.add(wake);
		});
	}

	async function read(response, query) {
		const name = query.get('topic');
		const from = Number(query.get('from'));
		if (from === getTopic(name).records.length) {
			await waitForRecord(name, from, Number(query.get('wait_ms') ?? 0));
		}

		if (state.era !== undefined) {
			response.setHeader('Store-Era', String(state.era));
		}

		const {records} = getTopic(name);
		if (from > records.length) {
			send(response, 410, {first: 0});
			return;
		}

		const header = Buffer.alloc(16);
		header.writeBigUInt64BE(BigInt(records.length), 0);
		response.end(Buffer.concat([header, ...records.slice(from).map(content => frameRecord(content))]));
	}

	function readNewest(response, query) {
		const {newest, records} = getTopic(query.get('topic'));
		const items = [...newest].map(([key, {value, offset}]) => ({key, value: value.toString('base64'), offset}));
		send(response, 200, {items, has_more: false, end: records.length});
	}

	const server = createServer(async (request, response) => {
		const {pathname, searchParams: query} = new URL(request.url, 'http://store');
		const bytes = await readBytes(request);
		state.calls += 1;
		if (state.mode === 'reset') {
			request.socket.resetAndDestroy();
			return;
		}

		if (state.mode === 'silent') {
			return;
		}

		if (state.era !== undefined && pathname !== '/-/log-read') {
			response.setHeader('Store-Era', String(state.era));
		}

		switch (pathname) {
			case '/-/log-append': {
				append(response, query, bytes);
				break;
			}

			case '/-/log-read': {
				await read(response, query);
				break;
			}

			case '/-/log-newest': {
				readNewest(response, query);
				break;
			}

			default: {
				send(response, 404, {error: 'unknown call'});
			}
		}
	});
	const sockets = new Set();
	server.on('connection', socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.once('close', () => {
			sockets.delete(socket);
		});
	});
	server.listen(0, host);
	await once(server, 'listening');

	function copyTopics(source) {
		return new Map([...source].map(([name, {records, newest}]) => [name, {records: [...records], newest: new Map(newest)}]));
	}

	return {
		address: `${host}:${server.address().port}`,
		state,

		/** Writes a record as an operator or an engine does; without a value the key is dropped. */
		put(topic, key, document) {
			putContent(getTopic(topic), encodeContent(key, document === undefined ? undefined : JSON.stringify(document)));
			wakeWaiters();
		},

		/** Returns the newest documents of a topic by key. */
		list: topic => [...getTopic(topic).newest].map(([key, {value}]) => ({key, document: JSON.parse(value.toString())})),

		/** Sets the mode. Connections on which an answer is owed return nothing further. */
		setMode(mode) {
			state.mode = mode;
			if (mode !== 'up') {
				for (const socket of sockets) {
					socket.resetAndDestroy();
				}
			}
		},

		/** Keeps a copy of all topics. */
		keepCopy() {
			copy = copyTopics(topics);
		},

		/** Returns to the copy and begins the next era. */
		restoreCopy() {
			topics.clear();
			for (const [name, topic] of copyTopics(copy)) {
				topics.set(name, topic);
			}

			state.era += 1;
			wakeWaiters();
		},

		close() {
			for (const socket of sockets) {
				socket.destroy();
			}

			server.close();
		},
	};
}
