import {expect, test} from 'vitest';
import type {AppendOutcome, KeyedLog, KeyedRecord} from '../../protocol/mod.js';
import {createFencedLog} from './fenced-log.js';

// Guards against records of a process whose state is in doubt, whichever of its tasks writes them.
test('a fenced log refuses to append, and is not asked to', async () => {
	let isFenced = false;
	const appended: string[] = [];
	const log = createFencedLog({
		name: 'grants',
		async append({key}: KeyedRecord): Promise<AppendOutcome> {
			appended.push(key);
			return {kind: 'appended', offset: appended.length};
		},
	} as unknown as KeyedLog, {isFenced: () => isFenced});
	expect(await log.append({key: 'a', value: '1'}, {})).toMatchObject({kind: 'appended'});
	isFenced = true;
	expect(await log.append({key: 'b', value: '1'}, {})).toMatchObject({kind: 'refused'});
	expect(appended).toEqual(['a']);
});
