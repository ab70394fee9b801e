/**
 * Setup file for vitest that skips the tests listed in KNOWN-RED.txt and no
 * others. `FIREFLYLANE_KNOWN_RED=run` runs the listed tests as well.
 *
 * @module
 */
import process from 'node:process';
import {beforeEach} from 'vitest';
import {knownRedCheckFile, readKnownRed} from './harness/known-red.js';

const listedTests = new Set(readKnownRed().filter(({kind}) => kind === 'test').map(({file, name}) => `${file!}: ${name}`));

beforeEach(({task, skip}) => {
	const isListed = task.file.name !== knownRedCheckFile && listedTests.has(`${task.file.name}: ${task.name}`);
	if (isListed && process.env.FIREFLYLANE_KNOWN_RED !== 'run') {
		skip();
	}
});
