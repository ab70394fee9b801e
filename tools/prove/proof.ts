/**
 * Defines proofs and runs them with and without their guard.
 *
 * A proof runs a scenario on a fleet of real processes and checks a promise. It is
 * run a second time without the guard, the code that keeps the promise; the
 * promise must then fail, which shows that the scenario depends on the guard.
 *
 * @module
 */
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {startFleet, type StartFleetOptions, type TestFleet} from '../harness/mod.js';

/** Settings with which an unresponsive peer is suspected after one second, to keep proofs short. */
export const fastSuspicion = {heartbeat: {every: '200ms', suspectAfter: '1s'}};

/** A promise that proofs of several files check. */
export const spendPromise = 'A customer\'s spend never exceeds its prepaid budget.';
/** A measure that proofs of several files check. */
export const refusalMeasure = 'False refusals: requests refused although budget remained.';

/** Figures that a run of a proof reports. */
export type ProofFigures = Readonly<Record<string, number | string | boolean>>;

/** The outcome of one run of a proof. */
export type ProofOutcome = {readonly holds: boolean; readonly figures: ProofFigures};

/** A proof: a scenario, the fleet it runs on, and the check at its end. */
export type Proof = {
	readonly name: string;
	/** The failure that the guard prevents: what a user would see, the order of events and the cause. */
	readonly scenario: string;
	/** The promise that the proof checks. */
	readonly promise: string;
	/** True if the proof gives the same result in every run and therefore runs in CI. */
	readonly isInCi: boolean;
	readonly fleet: StartFleetOptions;
	/** Modules without the guard, by the path of the product module that they replace. */
	readonly unguardedModules: Readonly<Record<string, string>>;
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
 * Maps a product module to its replacement, for `unguardedModules`.
 *
 * @example
 * ```ts
 * replaceModule('src/state/request-table', 'request-table-without-lookup');
 * ```
 *
 * @param productModule Path of the product module, without extension
 * @param unguardedModule Name of the module under tools/prove/unguarded, without extension
 * @returns The replacement, both paths relative to the build folder
 */
export function replaceModule(productModule: string, unguardedModule: string): Record<string, string> {
	return {[`${productModule}.js`]: `tools/prove/unguarded/${unguardedModule}.js`};
}

/** @internal */
async function runScenario(proof: Proof, fleet: TestFleet): Promise<ProofOutcome> {
	try {
		return await proof.run(fleet);
	} catch (error) {
		return {holds: false, figures: {error: (error as Error).message}};
	}
}

/** @internal Writes the log of each process to a temporary folder, as a failure may not be reproducible. */
function saveLogs(name: string, fleet: TestFleet): string {
	const folder = mkdtempSync(join(tmpdir(), `fireflylane-proof-${name}-`));
	for (const [index, {name: writer, text}] of fleet.listLogs().entries()) {
		writeFileSync(join(folder, `${index}-${writer}.log`), text);
	}

	return folder;
}

/**
 * Runs a proof once. If the outcome is not the expected one, the logs of its
 * processes are saved in the folder that the figure `logs` names.
 *
 * @example
 * ```ts
 * await runOnce(proof, {isGuarded: true});
 * ```
 *
 * @param proof The proof
 * @param options Whether to run with the guard
 * @returns Whether the promise held, with figures
 */
export async function runOnce(proof: Proof, options: {readonly isGuarded: boolean}): Promise<ProofOutcome> {
	const fleet = await startFleet({
		...proof.fleet,
		replacedModules: {...proof.fleet.replacedModules, ...options.isGuarded ? {} : proof.unguardedModules},
	});
	const outcome = await runScenario(proof, fleet);
	await fleet.kill();
	return outcome.holds === options.isGuarded
		? outcome
		: {...outcome, figures: {...outcome.figures, logs: saveLogs(proof.name, fleet)}};
}

/**
 * Runs a proof with its guard and then without it.
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
