import {expect, test} from 'vitest';
import {computeUrgency} from '../mod.js';

const generation = {
	model: 'm', promptTokens: 15_000, maxOutputTokens: 100, parts: [],
};
const origin = {service: 's', softwareVersion: 'v1'};

test('a stream that its caller resumes comes before new ones of its priority, and after those of a higher one', () => {
	const resumed = computeUrgency({priority: 1, generation, origin});
	expect(resumed).toBeLessThan(computeUrgency({priority: 1, generation}));
	expect(resumed).toBeGreaterThan(computeUrgency({priority: 0, generation}));
});
