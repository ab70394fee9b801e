/**
 * Has vitest pass over the tests that KNOWN-RED.txt lists, and over no others.
 * With `FIREFLYLANE_KNOWN_RED=run` they run as well.
 *
 * @module
 */
import process from 'node:process';
import {beforeEach} from 'vitest';
import {readKnownRed} from './harness/known-red.js';

/** Holds the check of the list, which is never passed over. */
const checkFile = 'tools/prove/prove.test.ts';
const passedOver = new Set(readKnownRed().filter(({kind}) => kind === 'test').map(({file, name}) => `${file!}: ${name}`));

beforeEach(({task, skip}) => {
	const isListed = task.file.name !== checkFile && passedOver.has(`${task.file.name}: ${task.name}`);
	if (isListed && process.env.FIREFLYLANE_KNOWN_RED !== 'run') {
		skip();
	}
});
