/**
 * What a proof is, and how it is run with and without its guard.
 *
 * @module
 */
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {startFleet, type StartFleetOptions, type TestFleet} from '../harness/mod.js';

/** Settings that suspect a silent peer within a second, so that proofs are short. */
export const quick = {heartbeat: {every: '200ms', suspectAfter: '1s'}};

/** Rows of the brief's list that proofs of several files prove. */
export const spendPromise = 'A customer\'s spend never exceeds its prepaid budget.';
export const refusalMeasure = 'False refusals: requests refused although budget remained.';

/** Figures that a proof counted. */
export type ProofFigures = Readonly<Record<string, number | string | boolean>>;

/** What one run of a proof came to. */
export type ProofOutcome = {readonly holds: boolean; readonly figures: ProofFigures};

/** A proof: a story, a fleet, and what must hold at its end. */
export type Proof = {
	readonly name: string;
	/** What a user would see, the order of events, the cause. */
	readonly story: string;
	/** The row of the brief's list that it proves. */
	readonly promise: string;
	/** True when it is certain to be repeatable, and so runs in CI. */
	readonly isInCi: boolean;
	readonly fleet: StartFleetOptions;
	/** Modules that lack the guard, by the path of the module they replace. */
	readonly withoutGuard: Readonly<Record<string, string>>;
	readonly run: (fleet: TestFleet) => Promise<ProofOutcome>;
};

/** The result of a proof with and without its guard. */
export type ProofResult = {
	readonly name: string;
	readonly holds: boolean;
	readonly guardRemovedFails: boolean;
	readonly figures: {readonly guarded: ProofFigures; readonly guardRemoved: ProofFigures};
};

/**
 * Names a replacing module.
 *
 * @example
 * ```ts
 * replaceModule('src/state/request-table', 'table-that-forgets');
 * ```
 *
 * @param module The product's module, without its ending
 * @param unguarded The module under tools/prove/unguarded
 * @returns Both by path from the build folder
 */
export function replaceModule(module: string, unguarded: string): Record<string, string> {
	return {[`${module}.js`]: `tools/prove/unguarded/${unguarded}.js`};
}

/** @internal */
async function playProof(proof: Proof, fleet: TestFleet): Promise<ProofOutcome> {
	try {
		return await proof.run(fleet);
	} catch (error) {
		return {holds: false, figures: {error: (error as Error).message}};
	}
}

/** @internal Keeps what each process wrote, for a run that may not come again. */
function keepLogs(name: string, fleet: TestFleet): string {
	const folder = mkdtempSync(join(tmpdir(), `fireflylane-proof-${name}-`));
	for (const [index, {name: writer, text}] of fleet.listLogs().entries()) {
		writeFileSync(join(folder, `${index}-${writer}.log`), text);
	}

	return folder;
}

/**
 * Runs a proof once. A run that comes out as it should not keeps the logs of
 * its processes, in the folder that its figure `logs` names.
 *
 * @example
 * ```ts
 * await runOnce(proof, {isGuarded: true});
 * ```
 *
 * @param proof The proof
 * @param options Whether the guard is there
 * @returns Whether it held, with figures
 */
export async function runOnce(proof: Proof, options: {readonly isGuarded: boolean}): Promise<ProofOutcome> {
	const fleet = await startFleet({
		...proof.fleet,
		replace: {...proof.fleet.replace, ...options.isGuarded ? {} : proof.withoutGuard},
	});
	const outcome = await playProof(proof, fleet);
	await fleet.kill();
	return outcome.holds === options.isGuarded
		? outcome
		: {...outcome, figures: {...outcome.figures, logs: keepLogs(proof.name, fleet)}};
}

/**
 * Runs a proof with its guard and without.
 *
 * @example
 * ```ts
 * const result = await runProof(proof);
 * ```
 *
 * @param proof The proof
 * @returns The result
 */
export async function runProof(proof: Proof): Promise<ProofResult> {
	const guarded = await runOnce(proof, {isGuarded: true});
	const guardRemoved = await runOnce(proof, {isGuarded: false});
	return {
		name: proof.name,
		holds: guarded.holds,
		guardRemovedFails: !guardRemoved.holds,
		figures: {guarded: guarded.figures, guardRemoved: guardRemoved.figures},
	};
}
