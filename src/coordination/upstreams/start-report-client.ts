/**
 * Asks upstreams for their start, over the connections that requests use.
 *
 * @module
 */
import type {GatewayWire} from '../../protocol/mod.js';
import {createTimeoutSignal, type UpstreamClient, type UpstreamResponse} from '../../transport/mod.js';
import type {CreateStartCheckerOptions, ReportedStart} from '../streams/start-checker.js';

/** Options of {@linkcode createStartReportClient}. */
export type CreateStartReportClientOptions = {
	readonly client: Pick<UpstreamClient, 'call'>;
	readonly wire: Pick<GatewayWire, 'reportPath' | 'readReportedStart'>;
};

const okStatus = 200;
/** Statuses of an upstream that offers no report. With any other it may offer one, as when it is overloaded. */
const absentStatuses: ReadonlySet<number> = new Set([404, 405, 501]);
/** Longer than a connection takes to open and a loaded upstream to answer; a caller waits for it. */
const reportTimeoutMs = 600;
/** An upstream resets connections beyond its limit, so that a second attempt may succeed on one that has become free. */
const maxAttempts = 2;
/** Reports list the running requests of an upstream, a few hundred at most. */
const maxReportBytes = 262_144;

/** @internal Returns undefined if the report is too long. */
async function readText({chunks, abandon}: UpstreamResponse): Promise<string | undefined> {
	const decoder = new TextDecoder();
	let text = '';
	for await (const chunk of chunks) {
		text += decoder.decode(chunk, {stream: true});
		if (text.length > maxReportBytes) {
			abandon();
			return undefined;
		}
	}

	return text;
}

/**
 * Creates a client for the reports of upstreams.
 *
 * @example
 * ```ts
 * const fetchStart = createStartReportClient({client, wire});
 * await fetchStart('10.1.0.15:8242'); // {kind: 'read', startedAt: 1700000000000}
 * ```
 *
 * @param options The client and the format of reports
 * @returns The function that asks the process at an address
 */
export function createStartReportClient({client, wire}: CreateStartReportClientOptions): CreateStartCheckerOptions['fetchStart'] {
	async function readStart(response: UpstreamResponse): Promise<ReportedStart> {
		if (response.status !== okStatus) {
			response.abandon();
			return {kind: absentStatuses.has(response.status) ? 'absent' : 'unanswered'};
		}

		const text = await readText(response);
		if (text === undefined) {
			return {kind: 'unanswered'};
		}

		const startedAt = wire.readReportedStart(text);
		return startedAt === undefined ? {kind: 'absent'} : {kind: 'read', startedAt};
	}

	return async address => {
		const timeLimit = createTimeoutSignal(reportTimeoutMs, []);
		try {
			for (let attempt = 0; attempt < maxAttempts && !timeLimit.signal.aborted; attempt += 1) {
				const called = await client.call({
					address, method: 'GET', path: wire.reportPath, headers: [], body: undefined, signal: timeLimit.signal, shouldUseNewConnection: false, shouldStillSend: () => true,
				});
				if (called.ok) {
					return await readStart(called.val);
				}
			}

			return {kind: 'unanswered'};
		} catch {
			// The report was cut or is malformed, or the address is none.
			return {kind: 'unanswered'};
		} finally {
			timeLimit.clear();
		}
	};
}
