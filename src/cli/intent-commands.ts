/**
 * Commands that plan and confirm changes, and `fireflylane key`.
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
import {sendOperatorRequest} from './operator-client.js';
import {printResult} from './print.js';
import {formatTable} from './table.js';
import {buildTarget, targetOptions} from './target.js';

/** A plan as sent by the daemon. */
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

const pollIntervalMs = 300;
const watchTimeoutMs = 60_000;

/** @internal */
function formatPlan(plan: PlanDocument): string {
	const summary = formatTable([{
		plan: plan.plan, state: plan.state, basis: plan.basis, version: plan.version, inForceAt: plan.inForceAt, liveDaemons: plan.liveDaemons,
	}]);
	const differenceRows = plan.differences.map(difference => ({
		what: difference.what,
		before: difference.before === undefined ? '-' : JSON.stringify(difference.before),
		after: difference.after === undefined ? '-' : JSON.stringify(difference.after),
		effect: difference.effect,
	}));
	const reason = plan.reason === undefined ? '' : `\n${plan.reason}`;
	const hint = plan.state === 'open' ? `\n\nNothing has changed yet. Confirm with: fireflylane intent confirm ${plan.plan}` : '';
	return `${summary}${reason}\n\n${formatTable(differenceRows)}${hint}`;
}

/**
 * Reads and validates an intent file.
 *
 * @example
 * ```ts
 * readIntent('intent.yaml');
 * ```
 *
 * @param file Path of a YAML file
 * @returns The intent, or a failure that lists what is wrong with the file
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
	description: 'Show what an intent would change, without changing anything',
	args: {
		...targetOptions, file: option({
			long: 'file', short: 'f', type: string, description: 'YAML file with the intent',
		}),
	},
	async handler(args) {
		const intent = readIntent(args.file);
		const result = intent.ok ? await sendOperatorRequest<PlanDocument>(buildTarget(args), '/v1/intents', intent.val) : intent;
		printResult(result, {json: args.json, format: formatPlan});
	},
});

const planArgument = positional({type: string, displayName: 'PLAN'});

const confirmCommand = command({
	name: 'confirm',
	description: 'Put a plan in force; repeating the command has no further effect',
	args: {...targetOptions, plan: planArgument},
	async handler(args) {
		const result = await sendOperatorRequest<PlanDocument>(buildTarget(args), `/v1/intents/${args.plan}/confirm`, {});
		printResult(result, {json: args.json, format: formatPlan});
	},
});

const statusCommand = command({
	name: 'status',
	description: 'Show the state of a plan and how many live daemons have it in force',
	args: {...targetOptions, plan: planArgument},
	async handler(args) {
		const result = await sendOperatorRequest<PlanDocument>(buildTarget(args), `/v1/intents/${args.plan}`);
		printResult(result, {json: args.json, format: formatPlan});
	},
});

const listCommand = command({
	name: 'list',
	description: 'List the latest plans',
	args: targetOptions,
	async handler(args) {
		const result = await sendOperatorRequest<{plans: PlanDocument[]}>(buildTarget(args), '/v1/intents');
		printResult(result, {
			json: args.json,
			format: document => formatTable(document.plans.map(plan => ({
				plan: plan.plan, state: plan.state, basis: plan.basis, version: plan.version, changes: plan.differences.length,
			}))),
		});
	},
});

const watchCommand = command({
	name: 'watch',
	description: 'Wait until a plan is in force at every live daemon, for up to a minute',
	args: {...targetOptions, plan: planArgument},
	async handler(args) {
		const deadline = Date.now() + watchTimeoutMs;
		for (;;) {
			const result = await sendOperatorRequest<PlanDocument>(buildTarget(args), `/v1/intents/${args.plan}`);
			const isFinished = result.err || result.val.state === 'stale' || result.val.state === 'refused' || (result.val.version !== undefined && result.val.inForceAt === result.val.liveDaemons);
			if (isFinished || Date.now() > deadline) {
				printResult(result, {json: args.json, format: formatPlan});
				return;
			}

			await wait(pollIntervalMs);
		}
	},
});

/** `fireflylane intent` */
export const intentCommand = subcommands({
	name: 'intent',
	description: 'Plan and confirm changes',
	cmds: {
		plan: planCommand, confirm: confirmCommand, status: statusCommand, list: listCommand, watch: watchCommand,
	},
});

/** `fireflylane key` */
export const keyCommand = subcommands({
	name: 'key',
	description: 'Work with the keys of callers',
	cmds: {
		digest: command({
			name: 'digest',
			description: 'Read a key from the standard input and print its digest, for use in an intent',
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
