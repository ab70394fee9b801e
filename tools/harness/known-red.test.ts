import {expect, test} from 'vitest';
import {findBadLines, parseKnownRed} from './known-red.js';

const proofs = ['killed-holder'];
const itself = 'test tools/harness/known-red.test.ts: a line names a proof, or a test of a file | cause | issue 1 | command';

test('a line names a proof, or a test of a file', () => {
	expect(findBadLines(parseKnownRed(`proof killed-holder | cause | issue 1 | command\n${itself}\n`), proofs)).toEqual([]);
	expect(() => parseKnownRed('test a test without its file | cause | issue 1 | command')).toThrow('names neither');
	expect(() => parseKnownRed('unstable a test without its file | cause | issue 1 | command')).toThrow('names neither');
});

test('lines that name a missing proof or test are reported', () => {
	const lines = [
		'proof no-such-proof | cause | issue 1 | command',
		'test tools/harness/known-red.test.ts: no such test | cause | issue 1 | command',
		'test no-such-file.test.ts: no such test | cause | issue 1 | command',
	];
	expect(findBadLines(parseKnownRed(lines.join('\n')), proofs)).toEqual(lines);
});

test('a line names one script that exists, or one test that is run all the same', () => {
	// Guards against a fault that is hidden behind another one of its line, and against a script that is no longer there.
	const unstable = itself.replace('test ', 'unstable ');
	expect(findBadLines(parseKnownRed(`case review/1/run.sh | cause | issue 1 | command\n${unstable}`), proofs)).toEqual([]);
	const bad = ['case review/0/run.sh | cause | issue 1 | command', `${itself} || proof killed-holder`, unstable.replace('names a', 'has no')];
	expect(findBadLines(parseKnownRed(bad.join('\n')), proofs)).toEqual(bad);
});

test('a test of the file that checks the list is not accepted on the list', () => {
	// Guards against a list that disables its own check: it named the test that
	// validates it, so that test was skipped and reported nothing.
	const line = 'test tools/prove/prove.test.ts: KNOWN-RED.txt names proofs and tests that exist | cause | issue 1 | command';
	expect(findBadLines(parseKnownRed(line), proofs)).toEqual([line]);
});
