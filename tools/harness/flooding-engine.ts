/**
 * A stand-in for engines that send bytes without end.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';

/** What an engine sends for one request: `head` once, and then `unit` without end if it is given. */
export type EngineScript = {readonly head: string; readonly unit?: string; readonly endsConnection?: boolean};

/** One connection of which an engine answers a request. */
export type EngineConnection = {
	readonly request: string;
	readonly startedAt: number;
	/** Bytes accepted by the operating system and by the socket's buffer. */
	readonly sentBytes: number;
	readonly closedAt: number | undefined;
};

/** Stops a flood that no limit ends, so that a failing test ends too. */
const maxSentBytes = 160 * 1_048_576;
const minWriteBytes = 65_536;

/**
 * Starts an engine that answers its requests by the scripts in turn, and those
 * after the last by the last.
 *
 * @example
 * ```ts
 * const engine = await startFloodingEngine([{head: 'HTTP/1.1 200 OK\r\n\r\n', unit: 'x'}]);
 * engine.close();
 * ```
 *
 * @param scripts What is sent for each request; a list that several engines share is used up by all of them
 * @returns The address and the connections of the engine
 */
export async function startFloodingEngine(scripts: EngineScript[]) {
	const connections: Array<{-readonly [Key in keyof EngineConnection]: EngineConnection[Key]}> = [];
	const sockets = new Set<Socket>();

	async function answer(socket: Socket, request: string): Promise<void> {
		const connection: (typeof connections)[number] = {
			request, startedAt: performance.now(), sentBytes: 0, closedAt: undefined,
		};
		connections.push(connection);
		socket.once('close', () => {
			connection.closedAt = performance.now();
		});
		const {head, unit, endsConnection} = scripts.length > 1 ? scripts.shift()! : scripts[0]!;
		socket.write(head);
		if (endsConnection) {
			socket.end();
		}

		if (unit === undefined) {
			return;
		}

		const bytes = Buffer.from(unit.repeat(Math.ceil(minWriteBytes / unit.length)));
		while (!socket.destroyed && connection.sentBytes < maxSentBytes) {
			connection.sentBytes += bytes.length;
			if (!socket.write(bytes)) {
				await new Promise<void>(resolve => {
					const finish = () => {
						socket.off('drain', finish);
						socket.off('close', finish);
						resolve();
					};

					socket.on('drain', finish);
					socket.on('close', finish);
				});
			}

			// Lets timers of the same process run.
			await wait(0);
		}
	}

	const server = createServer(socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('data', data => {
			if (/^[A-Z]+ \//.test(String(data))) {
				void answer(socket, String(data));
			}
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return {
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
		connections: connections as readonly EngineConnection[],
		close(): void {
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
}

/** A running engine that floods. */
export type FloodingEngine = Awaited<ReturnType<typeof startFloodingEngine>>;
