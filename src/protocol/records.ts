/**
 * The records that the fleet writes to its stream in the platform's log.
 *
 * Every daemon folds the same records in offset order, so conflicts are resolved
 * by the order of the log and not by any daemon.
 *
 * @module
 */
import * as z from 'zod';
import {changeSchema} from './changes.js';

const tokenCountSchema = z.number().int().nonnegative();

/** Schema of an amount of tokens from one grant. */
export const grantShareSchema = z.strictObject({grant: z.string(), amount: tokenCountSchema});

/** Schema of a receipt: the cost of one request, by grant. */
export const receiptSchema = z.strictObject({
	request: z.string(),
	/** The attempt whose reservation is billed. */
	attempt: z.number(),
	shares: z.array(grantShareSchema),
});

/** Schema of the record that announces an incarnation of a daemon. */
export const joinSchema = z.strictObject({
	kind: z.literal('join'),
	daemon: z.string(),
	incarnation: z.string(),
	role: z.enum(['entry', 'upstream']),
	address: z.string(),
	failureDomain: z.string(),
	/** Models or services that an upstream daemon serves. */
	serves: z.array(z.string()),
	work: z.enum(['model', 'service', 'none']),
});

/** Schema of a log record. */
export const logRecordSchema = z.discriminatedUnion('kind', [
	joinSchema,
	/** Ends an incarnation. `graceful`: by itself, after it appended all receipts; otherwise by a peer that presumed it failed. */
	z.strictObject({
		kind: z.literal('leave'), daemon: z.string(), incarnation: z.string(), graceful: z.boolean(), by: z.string(),
	}),
	z.strictObject({
		kind: z.literal('claim'), grant: z.string(), budget: z.string(), daemon: z.string(), incarnation: z.string(), amount: tokenCountSchema,
	}),
	z.strictObject({
		kind: z.literal('release'), id: z.string(), grant: z.string(), amount: tokenCountSchema, final: z.boolean(),
	}),
	z.strictObject({kind: z.literal('close'), grant: z.string(), by: z.string()}),
	/** Reports that an upstream daemon no longer accepts the grants and has appended all receipts under them. */
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

export type LogRecord = z.infer<typeof logRecordSchema>;
export type Join = z.infer<typeof joinSchema>;
export type GrantShare = z.infer<typeof grantShareSchema>;
export type Receipt = z.infer<typeof receiptSchema>;

/** A record of one kind. */
export type RecordOf<Kind extends LogRecord['kind']> = Extract<LogRecord, {kind: Kind}>;

/** Schema of a record with the offset and time assigned by the log. */
export const logEntrySchema = z.object({
	offset: z.number().int().nonnegative(),
	/** Milliseconds since the epoch, by the log's clock. */
	at: z.number(),
	data: z.unknown(),
});

/** A record with the offset and time assigned by the log. */
export type LogEntry = z.infer<typeof logEntrySchema>;

/** Schema of the answer to a log read. */
export const logPageSchema = z.object({
	records: z.array(logEntrySchema),
	/** The oldest offset that the log still retains. */
	first: z.number(),
	/** The offset after the newest record. */
	next: z.number(),
});

/** The answer to a log read. */
export type LogPage = z.infer<typeof logPageSchema>;
