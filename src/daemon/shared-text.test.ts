import {setImmediate as nextTurn} from 'node:timers/promises';
import {expect, test} from 'vitest';
import {createSharedText} from './shared-text.js';

// Guards against an event loop that is busy with the same text for many callers, and against texts that are outdated.
test('a text is computed once for those who ask in one iteration of the event loop', async () => {
	let computed = 0;
	const getText = createSharedText(() => {
		computed += 1;
		return `text ${computed}`;
	});
	const first = [getText(), getText()];
	await Promise.resolve();
	first.push(getText());
	expect(first).toEqual(['text 1', 'text 1', 'text 1']);
	await nextTurn();
	expect(getText()).toBe('text 2');
});
