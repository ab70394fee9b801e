/**
 * The records of the system's stream on the platform's log.
 *
 * Every daemon folds the same records in offset order, so that the log's order
 * decides and no daemon does.
 *
 * @module
 */
import * as z from 'zod';
import {changeSchema} from './changes.js';

const tokens = z.number().int().nonnegative();

/** Schema of tokens of one grant. */
export const shareSchema = z.strictObject({grant: z.string(), amount: tokens});

/** Schema of one receipt: what one request cost, under each grant. */
export const receiptSchema = z.strictObject({
	request: z.string(),
	/** The attempt whose reservation it is billed to. */
	attempt: z.number(),
	shares: z.array(shareSchema),
});

/** Schema of a daemon's announcement of one of its incarnations. */
export const joinSchema = z.strictObject({
	kind: z.literal('join'),
	daemon: z.string(),
	incarnation: z.string(),
	role: z.enum(['entry', 'upstream']),
	address: z.string(),
	failureDomain: z.string(),
	/** Models or services that an upstream daemon stands before. */
	serves: z.array(z.string()),
	work: z.enum(['model', 'service', 'none']),
});

/** Schema of a log record. */
export const recordSchema = z.discriminatedUnion('kind', [
	joinSchema,
	/** Ends an incarnation: `graceful` by itself with all receipts appended, else by a peer that lost it. */
	z.strictObject({
		kind: z.literal('leave'), daemon: z.string(), incarnation: z.string(), graceful: z.boolean(), by: z.string(),
	}),
	z.strictObject({
		kind: z.literal('claim'), grant: z.string(), budget: z.string(), daemon: z.string(), incarnation: z.string(), amount: tokens,
	}),
	z.strictObject({
		kind: z.literal('release'), id: z.string(), grant: z.string(), amount: tokens, final: z.boolean(),
	}),
	z.strictObject({kind: z.literal('close'), grant: z.string(), by: z.string()}),
	/** Says that the upstream daemon refuses the grants and has appended all receipts under them. */
	z.strictObject({
		kind: z.literal('report'), grants: z.array(z.string()), daemon: z.string(), incarnation: z.string(),
	}),
	z.strictObject({
		kind: z.literal('receipts'), sequence: z.number().int().positive(), daemon: z.string(), incarnation: z.string(), receipts: z.array(receiptSchema),
	}),
	z.strictObject({
		kind: z.literal('run'), request: z.string(), daemon: z.string(), incarnation: z.string(),
	}),
	z.strictObject({
		kind: z.literal('plan'), plan: z.string(), basis: z.number(), by: z.string(), changes: z.array(changeSchema),
	}),
	z.strictObject({kind: z.literal('confirm'), plan: z.string(), by: z.string()}),
	z.strictObject({kind: z.literal('snapshot'), upTo: z.number(), state: z.unknown()}),
]);

export type LogRecord = z.infer<typeof recordSchema>;
export type Join = z.infer<typeof joinSchema>;
export type GrantShare = z.infer<typeof shareSchema>;
export type Receipt = z.infer<typeof receiptSchema>;

/** A record of one kind. */
export type RecordOf<Kind extends LogRecord['kind']> = Extract<LogRecord, {kind: Kind}>;

/** Schema of a record with the place and time the log gave it. */
export const entrySchema = z.object({
	offset: z.number().int().nonnegative(),
	/** Milliseconds since the epoch, by the log's clock. */
	at: z.number(),
	data: z.unknown(),
});

/** A record with the place and time the log gave it. */
export type LogEntry = z.infer<typeof entrySchema>;

/** Schema of an answer to a read of the log. */
export const pageSchema = z.object({
	records: z.array(entrySchema),
	/** The oldest offset that is still kept. */
	first: z.number(),
	/** The offset after the newest record. */
	next: z.number(),
});

/** An answer to a read of the log. */
export type LogPage = z.infer<typeof pageSchema>;
