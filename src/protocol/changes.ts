/**
 * Schemas of the configuration objects and of the changes that an intent can request.
 *
 * @module
 */
import * as z from 'zod';

const nameSchema = z.string().regex(/^[a-z\d][a-z\d._-]{0,63}$/, 'Expected 1 to 64 lower-case letters, digits, dots, dashes or underscores');
const tokensSchema = z.number().int().positive().max(Number.MAX_SAFE_INTEGER / 4);

/** Schema of a customer. */
export const customerSchema = z.strictObject({
	id: nameSchema,
	/** From 0 to 9. An upstream takes queued requests of higher priority first. */
	priority: z.number().int().min(0).max(9).default(5),
});

/** Schema of a caller's key. Only the digest of the key is stored. */
export const keySchema = z.strictObject({
	/** Hex SHA-256 of the key. */
	digest: z.string().regex(/^[\da-f]{64}$/, 'Expected the hex SHA-256 digest of the key'),
	customer: nameSchema,
	budget: nameSchema,
});

/** Schema of a prepaid budget. */
export const budgetSchema = z.strictObject({
	id: nameSchema,
	customer: nameSchema,
	/** Whether refusals or overspend cost the customer more; decides how far ahead entry daemons claim tokens. */
	weighs: z.enum(['refusals', 'overspend']).default('refusals'),
});

/** Schema of a model. */
export const modelSchema = z.strictObject({
	name: nameSchema,
	/** Maximum length of an answer in tokens, and the default of `max_tokens`. */
	maxTokens: z.number().int().positive().max(1_000_000),
});

/** Schema of a plain service. */
export const serviceSchema = z.strictObject({
	name: nameSchema,
	/** Tokens billed per call. */
	cost: z.number().int().positive().max(1_000_000_000),
	/** True if a call can safely be repeated. */
	idempotent: z.boolean().default(false),
	/** What to do with non-idempotent calls while the log is unavailable. `run` risks a second run if the executor fails as well. */
	withoutLog: z.enum(['refuse', 'run']).default('refuse'),
});

/** Schema of a request class with its weight in load shedding. */
export const classSchema = z.strictObject({
	name: nameSchema,
	/** Value of one served request, relative to other classes. */
	weight: z.number().positive().max(1000).default(1),
	priority: z.number().int().min(0).max(9).default(5),
});

/** Schema of an order to an engine. The offset of the order's log record serves as its fencing number. */
export const orderSchema = z.strictObject({
	upstream: nameSchema,
	action: z.enum(['load-model', 'load-adapter', 'change-role']),
	value: z.string().min(1).max(200),
});

/** Schema of one configuration change. */
export const changeSchema = z.discriminatedUnion('change', [
	z.strictObject({change: z.literal('put-customer'), customer: customerSchema}),
	z.strictObject({change: z.literal('put-key'), key: keySchema}),
	z.strictObject({change: z.literal('remove-key'), digest: z.string()}),
	z.strictObject({change: z.literal('put-budget'), budget: budgetSchema}),
	z.strictObject({change: z.literal('top-up'), budget: nameSchema, tokens: tokensSchema}),
	z.strictObject({change: z.literal('put-model'), model: modelSchema}),
	z.strictObject({change: z.literal('put-service'), service: serviceSchema}),
	z.strictObject({change: z.literal('put-class'), class: classSchema}),
	z.strictObject({change: z.literal('order'), order: orderSchema}),
]);

export type Customer = z.infer<typeof customerSchema>;
export type CallerKey = z.infer<typeof keySchema>;
export type BudgetDefinition = z.infer<typeof budgetSchema>;
export type Model = z.infer<typeof modelSchema>;
export type Service = z.infer<typeof serviceSchema>;
export type RequestClass = z.infer<typeof classSchema>;
export type EngineOrder = z.infer<typeof orderSchema>;
export type Change = z.infer<typeof changeSchema>;

/** Schema of an intent as submitted by an operator. */
export const intentSchema = z.strictObject({
	changes: z.array(changeSchema).min(1).max(500),
});

/** The configuration changes that an operator requests. */
export type Intent = z.infer<typeof intentSchema>;
