/**
 * Parses the logs of daemons, which hold one JSON event per line.
 *
 * @module
 */

/** One line of a daemon's log. */
export type LogLine = {
	/** Wall-clock time of the daemon's host, ISO 8601. */
	readonly at: string;
	readonly daemon: string;
	/** Number of the event, such as `FL1408`. */
	readonly event: string;
	readonly text: string;
	readonly fields: Readonly<Record<string, unknown>>;
};

/**
 * Parses a log. Ignores any text before the JSON object on a line, and skips
 * lines that hold no event.
 *
 * @example
 * ```ts
 * parseLog('{"at":"2026-01-31T08:00:00.000Z","daemon":"e1","event":"FL1001","text":"daemon started"}');
 * ```
 *
 * @param text The log
 * @returns The lines that hold an event
 */
export function parseLog(text: string): LogLine[] {
	return parseLogAndCountSkipped(text).lines;
}

/**
 * Parses a log and counts the lines that hold no event: those that a killed
 * process left incomplete, or that another program wrote.
 *
 * @example
 * ```ts
 * parseLogAndCountSkipped('{"at":"2026-01-31T08:0').skipped; // 1
 * ```
 *
 * @param text The log
 * @returns The lines that hold an event, and how many were skipped; empty lines are not counted
 */
export function parseLogAndCountSkipped(text: string): {readonly lines: LogLine[]; readonly skipped: number} {
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
		// A killed process may leave an incomplete line.
		return undefined;
	}
}
