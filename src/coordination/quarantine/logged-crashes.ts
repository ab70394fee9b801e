/**
 * What the quarantines record in the log: requests, and parts of prompts.
 *
 * @module
 */
import * as z from 'zod';
import {
	announcePart, type CrashRegistry, type PartAnnouncement, type PartCrashRegistry, type PartRecord,
} from '../../state/mod.js';
import type {Clock} from '../../transport/mod.js';
import type {PartQuarantine} from './part-quarantine.js';
import {crashesToSuspect, type Quarantine} from './quarantine.js';

/** One kind of crash records and their form in the log. */
export abstract class LoggedCrashes {
	/**
	 * @param prefix Prefix of the digest in keys
	 * @param unrecordedVersion Version of a record that need not be in the log
	 */
	constructor(readonly prefix: string, readonly unrecordedVersion: string) {}

	/** Lists the digests of all records. */
	abstract listDigests(): string[];

	abstract has(digest: string): boolean;

	/** Returns true if a record that is not in the log is to be written to it. */
	abstract shouldRecord(digest: string): boolean;

	/** Describes what of a record the log is to have; equal descriptions need no write. */
	abstract describeVersion(digest: string): string;

	/** Describes a record of the log in the same way; throws if it is malformed. */
	abstract describeLogged(value: string): string;

	abstract encode(digest: string): string;

	/** Merges a record of the log; throws if it is malformed. */
	abstract merge(digest: string, value: string): void;

	/** Returns true if the next trial of a held record may be claimed in the log. */
	abstract isTrialDue(digest: string): boolean;

	/** Encodes a record with one more trial. */
	abstract encodeTrial(digest: string): string;
}

/** Counts rise by one with each crash, and messages hold them in 32 bits: one above half of that leaves no room to rise. */
const countSchema = z.number().int().nonnegative().max(0x7F_FF_FF_FF);
/** Starts are named by hashes of 32 bits. */
const startSchema = z.number().int().nonnegative().max(0xFF_FF_FF_FF);

const requestSchema = z.object({round: countSchema, crashes: countSchema});

/** Requests during which upstreams crashed. Their trials are not claimed in the log. */
export class LoggedRequests extends LoggedCrashes {
	constructor(private readonly registry: CrashRegistry, private readonly quarantine: Pick<Quarantine, 'merge'>) {
		super('', '0');
	}

	listDigests(): string[] {
		return this.registry.list().map(({digest}) => digest);
	}

	has(digest: string): boolean {
		return this.registry.get(digest) !== undefined;
	}

	shouldRecord(digest: string): boolean {
		return this.registry.count(digest) >= crashesToSuspect;
	}

	describeVersion(digest: string): string {
		return String(this.registry.count(digest));
	}

	describeLogged(value: string): string {
		return String(requestSchema.parse(JSON.parse(value)).crashes);
	}

	encode(digest: string): string {
		const {round = 0, crashes = 0} = this.registry.get(digest) ?? {};
		return JSON.stringify({round, crashes});
	}

	merge(digest: string, value: string): void {
		this.quarantine.merge({digest, ...requestSchema.parse(JSON.parse(value))}, 'log');
	}

	isTrialDue(): boolean {
		return false;
	}

	encodeTrial(digest: string): string {
		return this.encode(digest);
	}
}

/** A part is held back after fewer crashes, and gateways record at most 16. */
const maxLoggedCrashes = 64;

// `round` and `crashes` are also read by gateways of a version that does not know parts.
const partSchema = z.object({
	round: countSchema,
	crashes: countSchema,
	trials: countSchema,
	/** The crashed starts of upstreams, each with the age of the crash in milliseconds when it is written. */
	upstreams: z.array(z.tuple([startSchema, z.number().nonnegative()])).max(maxLoggedCrashes),
});

/** Parts of prompts during whose answers upstreams crashed. */
export class LoggedParts extends LoggedCrashes {
	constructor(private readonly registry: PartCrashRegistry, private readonly quarantine: Pick<PartQuarantine, 'merge' | 'isBlamed' | 'isTrialDue'>, private readonly clock: Clock) {
		super('part/', '0 0');
	}

	listDigests(): string[] {
		return this.registry.list().map(({digest}) => digest);
	}

	has(digest: string): boolean {
		return this.registry.get(digest) !== undefined;
	}

	shouldRecord(digest: string): boolean {
		return this.quarantine.isBlamed(digest);
	}

	describeVersion(digest: string): string {
		const record = this.registry.get(digest);
		return `${record?.crashes.length ?? 0} ${record?.trials ?? 0}`;
	}

	describeLogged(value: string): string {
		const {crashes, trials} = partSchema.parse(JSON.parse(value));
		return `${crashes} ${trials}`;
	}

	encode(digest: string): string {
		return this.#format(this.registry.get(digest) ?? {
			digest, round: 0, trials: 0, crashes: [],
		});
	}

	merge(digest: string, value: string): void {
		const {round, trials, upstreams} = partSchema.parse(JSON.parse(value));
		const record: PartAnnouncement = {
			digest, round, trials, crashes: upstreams.map(([upstream, ageMs]) => ({upstream, ageMs})),
		};
		this.quarantine.merge(record, 'log');
	}

	isTrialDue(digest: string): boolean {
		return this.quarantine.isTrialDue(digest);
	}

	encodeTrial(digest: string): string {
		const record = this.registry.get(digest)!;
		return this.#format({...record, trials: record.trials + 1});
	}

	#format(record: PartRecord): string {
		const {round, trials, crashes} = announcePart(record, this.clock.now());
		return JSON.stringify({
			round, crashes: crashes.length, trials, upstreams: crashes.map(({upstream, ageMs}) => [upstream, ageMs]),
		});
	}
}
