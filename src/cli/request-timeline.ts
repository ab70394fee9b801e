/**
 * Builds the timeline of one request from the logs of several daemons.
 *
 * @module
 */
import type {LogLine} from './log-line.js';

export {parseLog} from './log-line.js';

/** Log lines about a request and about the state of the daemons that handled it. */
export type RequestTimeline = {
	readonly request: string;
	/** Lines that name the request, in order of time. */
	readonly lines: readonly LogLine[];
	/** State of these daemons when the request arrived: the newest line for each subject, such as a peer or an upstream. */
	readonly known: readonly LogLine[];
	/** Changes in the state of these daemons while the request ran. */
	readonly meanwhile: readonly LogLine[];
};

const startedEvent = 'FL1001';
/**
 * Events that change a daemon's state or its view of other processes, with the
 * field that identifies the subject, if an event may concern several.
 */
const stateEvents = new Map<string, string | undefined>([
	['FL1001', undefined],
	['FL1002', undefined],
	['FL1006', undefined],
	['FL1008', undefined],
	['FL1101', 'log'],
	['FL1102', 'log'],
	['FL1109', undefined],
	['FL1110', undefined],
	['FL1111', undefined],
	['FL1301', 'peer'],
	['FL1302', 'peer'],
	['FL1306', 'peer'],
	['FL1412', 'digest'],
	['FL1417', 'digest'],
	['FL1506', undefined],
	['FL1701', 'upstream'],
	['FL1702', 'upstream'],
]);
/** Maps each event to the one that it reverses, so that a line "answers again" replaces the line "does not answer". */
const oppositeEvents = new Map([['FL1102', 'FL1101'], ['FL1110', 'FL1109'], ['FL1302', 'FL1301'], ['FL1702', 'FL1701']]);

/** @internal Computes when the request arrived, from the line that reports its duration; or else uses the time of the first line. */
function computeStartTimeMs(lines: readonly LogLine[]): number {
	const starts = lines.map(({at, fields}) => Date.parse(at) - (typeof fields.ms === 'number' ? fields.ms : 0));
	return Math.min(...starts);
}

/** @internal */
function deleteLinesOfDaemon(known: Map<string, LogLine>, daemon: string): void {
	for (const [stateKey, line] of known) {
		if (line.daemon === daemon) {
			known.delete(stateKey);
		}
	}
}

/** @internal Builds a key from the daemon, the kind of event and its subject; a newer line replaces an older one with the same key. */
function buildStateKey(line: LogLine): string {
	const field = stateEvents.get(line.event);
	return [line.daemon, oppositeEvents.get(line.event) ?? line.event, field === undefined ? '' : String(line.fields[field])].join(' ');
}

/**
 * Builds the timeline of a request.
 *
 * @example
 * ```ts
 * const timeline = buildRequestTimeline('9c41d07be2a35f68', parseLog(text));
 * ```
 *
 * @param request ID of the request
 * @param log Lines of all daemons, in any order
 * @returns The timeline; `lines` is empty if no daemon names the request
 */
export function buildRequestTimeline(request: string, log: readonly LogLine[]): RequestTimeline {
	const sorted = log.toSorted((left, right) => Date.parse(left.at) - Date.parse(right.at));
	const lines = sorted.filter(({fields}) => fields.request === request);
	if (lines.length === 0) {
		return {
			request, lines, known: [], meanwhile: [],
		};
	}

	const daemons = new Set(lines.map(({daemon}) => daemon));
	const upstreams = new Set(lines.map(({fields}) => fields.upstream));
	const digests = new Set(lines.map(({fields}) => fields.digest));
	// Keeps crash lines only if they concern the digest of this request but do not name the request itself;
	// keeps lines about an upstream only if the request used it.
	const isRelevant = ({fields}: LogLine) => fields.digest === undefined
		? fields.upstream === undefined || upstreams.has(fields.upstream)
		: digests.has(fields.digest) && fields.request !== request;
	const startTimeMs = computeStartTimeMs(lines);
	const endTimeMs = Date.parse(lines.at(-1)!.at);
	const stateLines = sorted.filter(line => daemons.has(line.daemon) && stateEvents.has(line.event) && isRelevant(line));
	const known = new Map<string, LogLine>();
	for (const line of stateLines.filter(({at}) => Date.parse(at) < startTimeMs)) {
		const stateKey = buildStateKey(line);
		// A new process does not inherit the state of its predecessor.
		if (line.event === startedEvent) {
			deleteLinesOfDaemon(known, line.daemon);
		}

		known.delete(stateKey);
		known.set(stateKey, line);
	}

	return {
		request, lines, known: [...known.values()],
		meanwhile: stateLines.filter(({at}) => Date.parse(at) >= startTimeMs && Date.parse(at) <= endTimeMs),
	};
}

/** @internal */
function formatLine({at, daemon, event, text, fields}: LogLine, startTimeMs: number): string {
	const offsetMs = Date.parse(at) - startTimeMs;
	const values = Object.entries(fields).filter(([name]) => name !== 'request').map(([name, value]) => `${name}=${String(value)}`);
	return `${`${offsetMs >= 0 ? '+' : ''}${offsetMs} ms`.padStart(12)}  ${daemon}  ${event} ${text}  ${values.join(' ')}`.trimEnd();
}

/**
 * Formats a timeline as text, with times relative to the arrival of the request.
 *
 * @example
 * ```ts
 * formatRequestTimeline(buildRequestTimeline(id, lines));
 * ```
 *
 * @param timeline The timeline
 * @returns Lines of text
 */
export function formatRequestTimeline(timeline: RequestTimeline): string {
	const {request, lines, known, meanwhile} = timeline;
	if (lines.length === 0) {
		return `No log line names the request "${request}"; the daemon that handled it may have died or dropped log lines (FL1801)`;
	}

	const startTimeMs = computeStartTimeMs(lines);
	const formatSection = (title: string, items: readonly LogLine[]) => items.length === 0 ? [] : [title, ...items.map(line => formatLine(line, startTimeMs))];
	return [
		`Request ${request}, arrived ${new Date(startTimeMs).toISOString()}`,
		...formatSection('State of the daemons on arrival:', known),
		...formatSection('Changes while the request ran:', meanwhile),
		...formatSection('Events of the request:', lines),
	].join('\n');
}
