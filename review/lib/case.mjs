/**
 * Runs a case: writes its record, ends what it started, and sets the exit code.
 *
 * @module
 */
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {startFleet, pickNetwork} from './fleet.mjs';
import {startStore} from './store.mjs';

const limitMs = 110_000;
const codes = {held: 0, broken: 1, failed: 2};

/**
 * Plays a case. `play` gets the network, the store, `record` and `startFleet`, and
 * returns true if the rule was broken.
 */
export async function runCase(folder, play) {
	const startedAt = performance.now();
	const hasTrouble = process.env.TROUBLE !== '0';
	const lines = [`TROUBLE=${hasTrouble ? 1 : 0}`];
	const record = text => {
		lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${text}`);
	};

	const network = pickNetwork();
	const cleanups = [];
	const finish = async code => {
		for (const cleanup of cleanups.toReversed()) {
			await cleanup();
		}

		writeFileSync(path.join(folder, 'record.txt'), `${lines.join('\n')}\n`);
		process.stdout.write(`${lines.at(-1)}\n`);
		process.exit(code); // eslint-disable-line unicorn/no-process-exit -- the end of the program
	};

	const timer = setTimeout(async () => {
		record('could not run: it took too long');
		await finish(codes.failed);
	}, limitMs);
	try {
		const store = await startStore({host: `${network}.2`, era: 1});
		cleanups.push(store.close);
		const isBroken = await play({
			network, store, record, hasTrouble,
			addCleanup(cleanup) {
				cleanups.push(cleanup);
			},
			async startFleet(options) {
				const fleet = await startFleet({network, store: store.address, ...options});
				cleanups.push(fleet.stop);
				return fleet;
			},
		});
		clearTimeout(timer);
		record(isBroken ? 'the rule was broken' : 'the rule held');
		await finish(isBroken ? codes.broken : codes.held);
	} catch (error) {
		clearTimeout(timer);
		record(`could not run: ${error.stack}`);
		await finish(codes.failed);
	}
}
