/**
 * Has vitest pass over the tests that KNOWN-RED.txt lists, and over no others.
 * With `FIREFLYLANE_KNOWN_RED=run` they run as well.
 *
 * @module
 */
import process from 'node:process';
import {beforeEach} from 'vitest';
import {readKnownRed} from './harness/known-red.js';

const passedOver = new Set(readKnownRed().filter(({kind}) => kind === 'test').map(({name}) => name));

beforeEach(context => {
	if (passedOver.has(context.task.name) && process.env.FIREFLYLANE_KNOWN_RED !== 'run') {
		context.skip();
	}
});
