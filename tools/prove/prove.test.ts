import process from 'node:process';
import {expect, test} from 'vitest';
import {findBadLines, readKnownRed} from '../harness/mod.js';
import {runProof} from './proof.js';
import {proofs} from './proofs.js';

// Known faults are passed over and printed, so that every other failure is news.
const knownRed = readKnownRed();
/** More than these are to be mended before anything new. */
const mostKnownRed = 3;

function isKnownRed(proof: string): boolean {
	return knownRed.some(({kind, name}) => kind === 'proof' && name === proof);
}

for (const {line} of knownRed) {
	process.stdout.write(`KNOWN RED ${line}\n`);
}

test('KNOWN-RED.txt names proofs and tests that exist', () => {
	expect(findBadLines(knownRed, proofs.map(({name}) => name))).toEqual([]);
	expect(knownRed.length).toBeLessThanOrEqual(mostKnownRed);
});

// Each proof that is certain to be repeatable, with its guard and without.
// Process proofs have bounds in wall time, so only a few run side by side.
for (const proof of proofs.filter(candidate => candidate.isInCi && !isKnownRed(candidate.name))) {
	test.concurrent(`proof ${proof.name} holds with its guard and fails without`, {timeout: 150_000}, async () => {
		const result = await runProof(proof);
		process.stdout.write(`${JSON.stringify(result)}\n`);
		expect(result).toMatchObject({holds: true, guardRemovedFails: true});
	});
}
