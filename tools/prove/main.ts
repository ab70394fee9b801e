/**
 * Command line of the proofs: `npm run prove -- --list`, `npm run prove -- NAME [--json]`.
 *
 * @module
 */
import process from 'node:process';
import {
	command, flag, optional, positional, run, string,
} from 'cmd-ts';
import {proofs} from './proofs.js';
import {runProof} from './proof.js';

const unknownProofExitCode = 3;

async function runAndPrintProof(name: string, isJson: boolean): Promise<boolean> {
	const proof = proofs.find(candidate => candidate.name === name);
	if (!proof) {
		process.stderr.write(`There is no proof "${name}"; see npm run prove -- --list\n`);
		process.exitCode = unknownProofExitCode;
		return false;
	}

	const result = await runProof(proof);
	if (isJson) {
		process.stdout.write(`${JSON.stringify(result)}\n`);
	} else {
		process.stdout.write(`${result.name}: ${result.holds ? 'holds' : 'DOES NOT HOLD'}; without its guard it ${result.guardRemovedFails ? 'fails' : 'DOES NOT FAIL'}\n`);
		process.stdout.write(`  with the guard     ${JSON.stringify(result.figures.guarded)}\n  without the guard  ${JSON.stringify(result.figures.guardRemoved)}\n`);
	}

	return result.holds && result.guardRemovedFails;
}

await run(command({
	name: 'prove',
	description: 'Runs a proof with its guard and without it; it must hold with the guard and fail without it',
	args: {
		name: positional({type: optional(string), displayName: 'NAME'}),
		list: flag({long: 'list', description: 'list the proofs'}),
		all: flag({long: 'all', description: 'run all proofs, one after the other'}),
		json: flag({long: 'json', description: 'print one JSON document for each proof'}),
	},
	async handler({name, list, all, json}) {
		if (list || (name === undefined && !all)) {
			const rows = proofs.map(proof => ({name: proof.name, promise: proof.promise, isInCi: proof.isInCi}));
			process.stdout.write(json ? `${JSON.stringify(rows)}\n` : `${rows.map(row => `${row.name.padEnd(30)} ${row.isInCi ? 'CI ' : '   '} ${row.promise}`).join('\n')}\n`);
			return;
		}

		const names = all ? proofs.map(proof => proof.name) : [name!];
		for (const each of names) {
			const isProved = await runAndPrintProof(each, json);
			process.exitCode ??= isProved ? undefined : 1;
		}
	},
}), process.argv.slice(2));
