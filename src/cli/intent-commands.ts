/**
 * Commands that plan and confirm changes.
 *
 * @module
 */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {
	command, option, positional, string, subcommands,
} from 'cmd-ts';
import {parse} from 'yaml';
import {
	Err, Ok, computeDigest, createFailure, intentSchema, type Failure, type Intent, type Result,
} from '../protocol/mod.js';
import {askDaemon} from './operator-client.js';
import {printResult} from './print.js';
import {formatTable} from './table.js';
import {buildTarget, targetOptions} from './target.js';

/** A plan as the daemon sends it. */
type PlanDocument = {
	readonly plan: string;
	readonly state: string;
	readonly basis: number;
	readonly version?: number;
	readonly reason?: string;
	readonly inForceAt?: number;
	readonly liveDaemons?: number;
	readonly differences: ReadonlyArray<{readonly what: string; readonly before?: unknown; readonly after?: unknown; readonly effect: string}>;
};

const watchPause = 300;
const watchBound = 60_000;

/** @internal */
function formatPlan(plan: PlanDocument): string {
	const head = formatTable([{
		plan: plan.plan, state: plan.state, basis: plan.basis, version: plan.version, inForceAt: plan.inForceAt, liveDaemons: plan.liveDaemons,
	}]);
	const rows = plan.differences.map(difference => ({
		what: difference.what,
		before: difference.before === undefined ? '-' : JSON.stringify(difference.before),
		after: difference.after === undefined ? '-' : JSON.stringify(difference.after),
		effect: difference.effect,
	}));
	const reason = plan.reason === undefined ? '' : `\n${plan.reason}`;
	const hint = plan.state === 'open' ? `\n\nNothing has changed yet. Confirm with: fireflylane intent confirm ${plan.plan}` : '';
	return `${head}${reason}\n\n${formatTable(rows)}${hint}`;
}

/**
 * Reads an intent file.
 *
 * @example
 * ```ts
 * readIntent('intent.yaml');
 * ```
 *
 * @param file YAML
 * @returns The intent, or what is wrong with it
 */
export function readIntent(file: string): Result<Intent, Failure> {
	try {
		const parsed = intentSchema.safeParse(parse(readFileSync(file, 'utf8')));
		return parsed.success
			? Ok(parsed.data)
			: Err(createFailure('invalid-request', parsed.error.issues.map(issue => `${file}: ${issue.path.join('.')}: ${issue.message}`).join('; ')));
	} catch (error) {
		return Err(createFailure('invalid-request', `Cannot read "${file}": ${(error as Error).message}`));
	}
}

const planCommand = command({
	name: 'plan',
	description: 'Show what an intent would change; changes nothing',
	args: {
		...targetOptions, file: option({
			long: 'file', short: 'f', type: string, description: 'the intent, YAML',
		}),
	},
	async handler(given) {
		const intent = readIntent(given.file);
		const answer = intent.ok ? await askDaemon<PlanDocument>(buildTarget(given), '/v1/intents', intent.val) : intent;
		printResult(answer, {json: given.json, format: formatPlan});
	},
});

const planId = positional({type: string, displayName: 'PLAN'});

const confirmCommand = command({
	name: 'confirm',
	description: 'Put a plan in force; may be repeated without a second effect',
	args: {...targetOptions, plan: planId},
	async handler(given) {
		const answer = await askDaemon<PlanDocument>(buildTarget(given), `/v1/intents/${given.plan}/confirm`, {});
		printResult(answer, {json: given.json, format: formatPlan});
	},
});

const showCommand = command({
	name: 'status',
	description: 'Show what became of a plan and where it is in force',
	args: {...targetOptions, plan: planId},
	async handler(given) {
		const answer = await askDaemon<PlanDocument>(buildTarget(given), `/v1/intents/${given.plan}`);
		printResult(answer, {json: given.json, format: formatPlan});
	},
});

const listCommand = command({
	name: 'list',
	description: 'List the latest plans',
	args: targetOptions,
	async handler(given) {
		const answer = await askDaemon<{plans: PlanDocument[]}>(buildTarget(given), '/v1/intents');
		printResult(answer, {
			json: given.json,
			format: document => formatTable(document.plans.map(plan => ({
				plan: plan.plan, state: plan.state, basis: plan.basis, version: plan.version, changes: plan.differences.length,
			}))),
		});
	},
});

const watchCommand = command({
	name: 'watch',
	description: 'Wait until a plan is in force at every live daemon',
	args: {...targetOptions, plan: planId},
	async handler(given) {
		const until = Date.now() + watchBound;
		for (;;) {
			const answer = await askDaemon<PlanDocument>(buildTarget(given), `/v1/intents/${given.plan}`);
			const isEnded = answer.err || answer.val.state === 'stale' || answer.val.state === 'refused' || (answer.val.version !== undefined && answer.val.inForceAt === answer.val.liveDaemons);
			if (isEnded || Date.now() > until) {
				printResult(answer, {json: given.json, format: formatPlan});
				return;
			}

			await wait(watchPause);
		}
	},
});

/** `fireflylane intent` */
export const intentCommand = subcommands({
	name: 'intent',
	description: 'Plan and confirm changes',
	cmds: {
		plan: planCommand, confirm: confirmCommand, status: showCommand, list: listCommand, watch: watchCommand,
	},
});

/** `fireflylane key` */
export const keyCommand = subcommands({
	name: 'key',
	description: 'Work with callers\' keys',
	cmds: {
		digest: command({
			name: 'digest',
			description: 'Print the digest of a key from the standard input, for an intent',
			args: {},
			async handler() {
				const chunks: string[] = [];
				for await (const chunk of process.stdin) {
					chunks.push(String(chunk));
				}

				process.stdout.write(`${computeDigest(chunks.join('').trim())}\n`);
			},
		}),
	},
});
