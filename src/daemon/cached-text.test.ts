import {expect, test} from 'vitest';
import {createCachedText} from './cached-text.js';

// Guards against an event loop that is busy with the same text for many callers.
test('a text is computed once within its maximum age', () => {
	const state = {now: 0, computed: 0};
	const cache = createCachedText({
		maxAgeMs: 100,
		clock: {now: () => state.now},
		compute() {
			state.computed += 1;
			return `text ${state.computed}`;
		},
	});
	const texts = [0, 50, 99, 100, 150, 300].map(now => {
		state.now = now;
		return cache.get();
	});
	expect(texts).toEqual(['text 1', 'text 1', 'text 1', 'text 2', 'text 2', 'text 3']);
});
