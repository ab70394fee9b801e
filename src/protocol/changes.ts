/**
 * What configuration consists of, and the changes an intent may ask for.
 *
 * @module
 */
import * as z from 'zod';

const nameSchema = z.string().regex(/^[a-z\d][a-z\d._-]{0,63}$/, 'Use 1 to 64 lower-case letters, digits, dots, dashes or underscores');
const tokensSchema = z.number().int().positive().max(Number.MAX_SAFE_INTEGER / 4);

/** Schema of a customer. */
export const customerSchema = z.strictObject({
	id: nameSchema,
	/** Requests of higher priority go first where an upstream queues; 0 to 9. */
	priority: z.number().int().min(0).max(9).default(5),
});

/** Schema of a caller's key; the key itself is never stored. */
export const keySchema = z.strictObject({
	/** Hex SHA-256 of the key. */
	digest: z.string().regex(/^[\da-f]{64}$/, 'Give the hex SHA-256 digest of the key'),
	customer: nameSchema,
	budget: nameSchema,
});

/** Schema of a prepaid budget. */
export const budgetSchema = z.strictObject({
	id: nameSchema,
	customer: nameSchema,
	/** What the customer weighs more; sets how far ahead entries claim. */
	weighs: z.enum(['refusals', 'overspend']).default('refusals'),
});

/** Schema of a model. */
export const modelSchema = z.strictObject({
	name: nameSchema,
	/** Longest answer, in tokens, and the default of `max_tokens`. */
	maxTokens: z.number().int().positive().max(1_000_000),
});

/** Schema of a plain service. */
export const serviceSchema = z.strictObject({
	name: nameSchema,
	/** Tokens billed for one call. */
	cost: z.number().int().positive().max(1_000_000_000),
	/** True when a call may be repeated without harm. */
	idempotent: z.boolean().default(false),
	/** What to do with non-idempotent calls while the log is away; `run` risks a second run if the executor dies too. */
	withoutLog: z.enum(['refuse', 'run']).default('refuse'),
});

/** Schema of a kind of request and its weight when load is shed. */
export const classSchema = z.strictObject({
	name: nameSchema,
	/** Worth of one served request. */
	weight: z.number().positive().max(1000).default(1),
	priority: z.number().int().min(0).max(9).default(5),
});

/** Schema of an order to an engine; its record's offset is the fencing number. */
export const orderSchema = z.strictObject({
	upstream: nameSchema,
	action: z.enum(['load-model', 'load-adapter', 'change-role']),
	value: z.string().min(1).max(200),
});

/** Schema of one change of configuration. */
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
export type BudgetRule = z.infer<typeof budgetSchema>;
export type Model = z.infer<typeof modelSchema>;
export type Service = z.infer<typeof serviceSchema>;
export type RequestClass = z.infer<typeof classSchema>;
export type EngineOrder = z.infer<typeof orderSchema>;
export type Change = z.infer<typeof changeSchema>;

/** Schema of an intent as an operator writes it. */
export const intentSchema = z.strictObject({
	changes: z.array(changeSchema).min(1).max(500),
});

/** An intent: the changes an operator wants. */
export type Intent = z.infer<typeof intentSchema>;
