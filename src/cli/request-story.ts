/**
 * The story of one request, told by the logs of several daemons.
 *
 * @module
 */
import type {LogLine} from './log-line.js';

export {parseLog} from './log-line.js';

/** What the logs say of a request. */
export type RequestStory = {
	readonly request: string;
	/** Lines that name the request, in order of time. */
	readonly lines: readonly LogLine[];
	/** The newest line of each kind, by which those daemons knew the world when the request came. */
	readonly known: readonly LogLine[];
	/** Lines by which those daemons' view of the world changed while it ran. */
	readonly meanwhile: readonly LogLine[];
};

const startedEvent = 'FL1001';
/** Events that change what a daemon believes of the world around it; the first field that tells two of a kind apart. */
const worldEvents = new Map<string, string | undefined>([
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
	['FL1506', undefined],
	['FL1701', 'upstream'],
	['FL1702', 'upstream'],
]);
/** The other side of a pair: a lost dependency that is back is no longer lost. */
const pairs = new Map([['FL1102', 'FL1101'], ['FL1110', 'FL1109'], ['FL1302', 'FL1301'], ['FL1702', 'FL1701']]);

/** @internal When the request came, by the line that says how long it took; else its first line. */
function findStart(lines: readonly LogLine[]): number {
	const starts = lines.map(({at, fields}) => Date.parse(at) - (typeof fields.ms === 'number' ? fields.ms : 0));
	return Math.min(...starts);
}

/** @internal */
function forgetDaemon(known: Map<string, LogLine>, daemon: string): void {
	for (const [subject, line] of known) {
		if (line.daemon === daemon) {
			known.delete(subject);
		}
	}
}

/** @internal What a line is about: of two lines about the same, the newer one holds. */
function formatSubject(line: LogLine): string {
	const field = worldEvents.get(line.event);
	return [line.daemon, pairs.get(line.event) ?? line.event, field === undefined ? '' : String(line.fields[field])].join(' ');
}

/**
 * Tells the story of a request.
 *
 * @example
 * ```ts
 * const story = buildRequestStory('9c41d07be2a35f68', parseLog(text));
 * ```
 *
 * @param request The request's id
 * @param log Lines of all daemons, in any order
 * @returns The story; without lines when no daemon names the request
 */
export function buildRequestStory(request: string, log: readonly LogLine[]): RequestStory {
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
	const isOfConcern = ({fields}: LogLine) => fields.digest === undefined
		? fields.upstream === undefined || upstreams.has(fields.upstream)
		: digests.has(fields.digest) && fields.request !== request;
	const from = findStart(lines);
	const to = Date.parse(lines.at(-1)!.at);
	const world = sorted.filter(line => daemons.has(line.daemon) && worldEvents.has(line.event) && isOfConcern(line));
	const known = new Map<string, LogLine>();
	for (const line of world.filter(({at}) => Date.parse(at) < from)) {
		const subject = formatSubject(line);
		// A process that starts knows nothing of what its predecessor knew.
		if (line.event === startedEvent) {
			forgetDaemon(known, line.daemon);
		}

		known.delete(subject);
		known.set(subject, line);
	}

	return {
		request, lines, known: [...known.values()],
		meanwhile: world.filter(({at}) => Date.parse(at) >= from && Date.parse(at) <= to),
	};
}

/** @internal */
function formatLine({at, daemon, event, text, fields}: LogLine, from: number): string {
	const span = Date.parse(at) - from;
	const values = Object.entries(fields).filter(([name]) => name !== 'request').map(([name, value]) => `${name}=${String(value)}`);
	return `${`${span >= 0 ? '+' : ''}${span} ms`.padStart(12)}  ${daemon}  ${event} ${text}  ${values.join(' ')}`.trimEnd();
}

/**
 * Formats a story for the console; spans count from the request's coming.
 *
 * @example
 * ```ts
 * formatRequestStory(buildRequestStory(id, lines));
 * ```
 *
 * @param story The story
 * @returns Several lines
 */
export function formatRequestStory(story: RequestStory): string {
	const {request, lines, known, meanwhile} = story;
	if (lines.length === 0) {
		return `No line names the request "${request}"; the daemon that had it may have died, or dropped lines (FL1801)`;
	}

	const from = findStart(lines);
	const list = (title: string, items: readonly LogLine[]) => items.length === 0 ? [] : [title, ...items.map(line => formatLine(line, from))];
	return [
		`Request ${request}, came ${new Date(from).toISOString()}`,
		...list('What the daemon knew:', known),
		...list('What changed meanwhile:', meanwhile),
		...list('What became of it:', lines),
	].join('\n');
}
