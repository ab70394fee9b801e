import {expect, test} from 'vitest';
import {createMetrics} from '../mod.js';

test('series beyond the limit are combined', () => {
	// Guards against a gateway that runs out of memory after weeks of
	// configuration changes, because removed routes keep their histograms.
	const metrics = createMetrics();
	for (let index = 0; index < 1000; index += 1) {
		metrics.recordServed({customer: 'c', class: `r${index}`}, {
			firstMs: 1, totalMs: 1, gapMs: 1, tokens: 1,
		});
	}

	const rows = metrics.listRows();
	expect(rows.length).toBe(201);
	expect(rows.find(row => row.customer === 'other')?.served).toBe(800);
});
