/**
 * `fireflylane explain`: a request's story from the daemons' logs.
 *
 * @module
 */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {
	command, flag, positional, restPositionals, string,
} from 'cmd-ts';
import {buildRequestStory, formatRequestStory, parseLog} from './request-story.js';

/** Exit code when no line names the request, as for an unknown object. */
const unknownExitCode = 3;

/** `fireflylane explain` */
export const explainCommand = command({
	name: 'explain',
	description: 'Tell the story of a request from the logs of several daemons; asks no daemon',
	args: {
		id: positional({type: string, displayName: 'ID'}),
		files: restPositionals({type: string, displayName: 'FILE', description: 'logs of gateways; - is the standard input'}),
		json: flag({long: 'json', description: 'print one JSON document'}),
	},
	handler({id, files, json}) {
		const texts = (files.length === 0 ? ['-'] : files).map(file => readFileSync(file === '-' ? 0 : file, 'utf8'));
		const story = buildRequestStory(id, texts.flatMap(text => parseLog(text)));
		process.stdout.write(`${json ? JSON.stringify(story) : formatRequestStory(story)}\n`);
		process.exitCode = story.lines.length === 0 ? unknownExitCode : 0;
	},
});
