#!/usr/bin/env node
/**
 * `fireflylaned`: runs one daemon, whose role is given by its settings.
 *
 * @module
 */
import process from 'node:process';
import {
	command, flag, option, optional, run, string,
} from 'cmd-ts';
import {runDaemon} from './daemon/mod.js';

const daemonCommand = command({
	name: 'fireflylaned',
	description: 'Runs one daemon of the fleet until SIGTERM or SIGINT',
	args: {
		settings: option({long: 'settings', type: string, description: 'the settings file, YAML'}),
		daemon: option({long: 'daemon', type: optional(string), description: 'the daemon wanted of a deployment file'}),
		check: flag({long: 'check', description: 'only check the settings'}),
	},
	async handler(options) {
		await runDaemon(options);
	},
});

await run(daemonCommand, process.argv.slice(2));
