import {readFileSync, readdirSync} from 'node:fs';
import {expect, test} from 'vitest';
import * as z from 'zod';
import {logRecordSchema} from '../protocol/mod.js';
import {createFleetState} from './mod.js';

const traceSchema = z.strictObject({
	story: z.string(),
	window: z.number(),
	records: z.array(logRecordSchema),
	outcome: z.strictObject({
		version: z.number(),
		budgets: z.record(z.string(), z.strictObject({
			bought: z.number(), billed: z.number(), burnt: z.number(), refunded: z.number(), remaining: z.number(),
		})),
		openGrants: z.array(z.string()),
		plans: z.record(z.string(), z.string()),
		runs: z.record(z.string(), z.string()),
	}),
});

for (const file of readdirSync('traces').filter(name => name.endsWith('.json'))) {
	test(`trace ${file} yields its expected outcome`, () => {
		const trace = traceSchema.parse(JSON.parse(readFileSync(`traces/${file}`, 'utf8')));
		const state = createFleetState({retentionMs: trace.window});
		for (const [offset, data] of trace.records.entries()) {
			state.fold({offset, at: offset, data});
		}

		const {ledger, configuration, runs} = state;
		const {outcome} = trace;
		expect(configuration.version()).toBe(outcome.version);
		expect([...ledger.listGrants()].map(grant => grant.id)).toEqual(outcome.openGrants);
		for (const [id, expected] of Object.entries(outcome.budgets)) {
			expect({...ledger.findBudget(id), remaining: ledger.computeRemaining(id)}).toMatchObject(expected);
		}

		for (const [id, expected] of Object.entries(outcome.plans)) {
			expect(configuration.findPlan(id)?.state).toBe(expected);
		}

		for (const [id, expected] of Object.entries(outcome.runs)) {
			expect(runs.get(id)?.daemon).toBe(expected);
		}
	});
}
