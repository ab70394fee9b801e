/**
 * Lines of daemons' logs.
 *
 * @module
 */

/** One line of a daemon's log. */
export type LogLine = {
	/** Wall clock of the daemon's host, ISO 8601. */
	readonly at: string;
	readonly daemon: string;
	/** Number of the event, such as `FL1408`. */
	readonly event: string;
	readonly text: string;
	readonly fields: Readonly<Record<string, unknown>>;
};

/**
 * Reads a log; what comes before the document on a line is left out, and so
 * are lines without one.
 *
 * @example
 * ```ts
 * parseLog('{"at":"2026-01-31T08:00:00.000Z","daemon":"e1","event":"FL1001","text":"daemon started"}');
 * ```
 *
 * @param text The log
 * @returns Its lines
 */
export function parseLog(text: string): LogLine[] {
	return readLog(text).lines;
}

/**
 * Reads a log and counts the lines that hold no event: what a killed process
 * left half written, or what another program wrote.
 *
 * @example
 * ```ts
 * readLog('{"at":"2026-01-31T08:0').skipped; // 1
 * ```
 *
 * @param text The log
 * @returns Its lines and how many were left out; empty lines count as nothing
 */
export function readLog(text: string): {readonly lines: LogLine[]; readonly skipped: number} {
	const parsed = text.split('\n').filter(line => line.trim() !== '').map(line => parseLine(line));
	const lines = parsed.filter(line => line !== undefined);
	return {lines, skipped: parsed.length - lines.length};
}

/** @internal */
function parseLine(line: string): LogLine | undefined {
	const start = line.indexOf('{"at"');
	if (start === -1) {
		return undefined;
	}

	try {
		const {at, daemon, event, text, ...fields} = JSON.parse(line.slice(start)) as Record<string, unknown>;
		return Number.isNaN(Date.parse(String(at)))
			? undefined
			: {
				at: String(at), daemon: String(daemon), event: String(event), text: String(text), fields,
			};
	} catch {
		// A process that was killed leaves half a line.
		return undefined;
	}
}
