import {readFileSync} from 'node:fs';
import process from 'node:process';
import {expect, test} from 'vitest';
import {runProof} from './proof.js';
import {proofs} from './proofs.js';

// Faults that are known and not mended: a line each in KNOWN-RED.txt, which begins with the proof's name. They are
// passed over and printed, so that every other failure is news.
const knownRed = readFileSync('KNOWN-RED.txt', 'utf8').split('\n').filter(Boolean);

function findKnownRed(name: string): string | undefined {
	return knownRed.find(line => line.startsWith(`proof ${name} |`));
}

for (const line of knownRed) {
	process.stdout.write(`KNOWN RED ${line}\n`);
}

test('KNOWN-RED.txt names proofs that exist', () => {
	expect(proofs.filter(proof => findKnownRed(proof.name)).length).toBe(knownRed.length);
});

// Each proof that is certain to be repeatable, with its guard and without.
// Process proofs have bounds in wall time, so only a few run side by side.
for (const proof of proofs.filter(candidate => candidate.isInCi && !findKnownRed(candidate.name))) {
	test.concurrent(`proof ${proof.name} holds with its guard and fails without`, {timeout: 150_000}, async () => {
		const result = await runProof(proof);
		process.stdout.write(`${JSON.stringify(result)}\n`);
		expect(result).toMatchObject({holds: true, guardRemovedFails: true});
	});
}
