#!/usr/bin/env node
/**
 * `fireflylane`: the operators' command line. Most commands send requests to
 * one entry daemon; `explain` and `losses` read log files instead.
 *
 * Exit codes are those of docs/ERRORS.md: 0 for success, 1 for wrong usage.
 *
 * @module
 */
import process from 'node:process';
import {run, subcommands} from 'cmd-ts';
import {explainCommand} from './cli/explain-command.js';
import {
	budgetCommand, hostCommand, metricsCommand, requestCommand, statusCommand, upstreamCommand,
} from './cli/inspect-commands.js';
import {intentCommand, keyCommand} from './cli/intent-commands.js';
import {lossesCommand} from './cli/losses-command.js';
import {quarantineCommand} from './cli/quarantine-command.js';

const program = subcommands({
	name: 'fireflylane',
	description: 'Operate a fleet of fireflylane daemons',
	cmds: {
		status: statusCommand,
		budget: budgetCommand,
		intent: intentCommand,
		upstream: upstreamCommand,
		host: hostCommand,
		request: requestCommand,
		metrics: metricsCommand,
		key: keyCommand,
		explain: explainCommand,
		losses: lossesCommand,
		quarantine: quarantineCommand,
	},
});

await run(program, process.argv.slice(2));
