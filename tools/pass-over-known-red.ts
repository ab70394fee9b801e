/**
 * Has vitest pass over the tests that KNOWN-RED.txt lists, and over no others.
 * With `FIREFLYLANE_KNOWN_RED=run` they run as well.
 *
 * @module
 */
import process from 'node:process';
import {beforeEach} from 'vitest';
import {knownRedCheckFile, readKnownRed} from './harness/known-red.js';

const passedOver = new Set(readKnownRed().filter(({kind}) => kind === 'test').map(({file, name}) => `${file!}: ${name}`));

beforeEach(({task, skip}) => {
	const isListed = task.file.name !== knownRedCheckFile && passedOver.has(`${task.file.name}: ${task.name}`);
	if (isListed && process.env.FIREFLYLANE_KNOWN_RED !== 'run') {
		skip();
	}
});
