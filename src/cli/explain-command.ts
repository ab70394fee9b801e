/**
 * `fireflylane explain`: shows the timeline of a request from the daemons' logs.
 *
 * @module
 */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {
	command, flag, positional, restPositionals, string,
} from 'cmd-ts';
import {buildRequestTimeline, formatRequestTimeline, parseLog} from './request-timeline.js';

/** Exit code if no line names the request; the same as for the failure `unknown-object`. */
const unknownRequestExitCode = 3;

/** `fireflylane explain` */
export const explainCommand = command({
	name: 'explain',
	description: 'Show the timeline of a request from the logs of several daemons; contacts no daemon',
	args: {
		id: positional({type: string, displayName: 'ID'}),
		files: restPositionals({type: string, displayName: 'FILE', description: 'log files of gateways; - or none reads the standard input'}),
		json: flag({long: 'json', description: 'print one JSON document'}),
	},
	handler({id, files, json}) {
		const texts = (files.length === 0 ? ['-'] : files).map(file => readFileSync(file === '-' ? 0 : file, 'utf8'));
		const timeline = buildRequestTimeline(id, texts.flatMap(text => parseLog(text)));
		process.stdout.write(`${json ? JSON.stringify(timeline) : formatRequestTimeline(timeline)}\n`);
		process.exitCode = timeline.lines.length === 0 ? unknownRequestExitCode : 0;
	},
});
