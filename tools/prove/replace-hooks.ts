/**
 * Module hooks that send an import of one module to another.
 *
 * @module
 */
import process from 'node:process';

type Resolved = {readonly url: string};
type NextResolve = (specifier: string, context: unknown) => Promise<Resolved>;

const replacements = JSON.parse(process.env.FIREFLYLANE_PROOF_REPLACE ?? '{}') as Record<string, string>;
const buildFolder = new URL('../../', import.meta.url).href;

/**
 * Resolves an import; the replacing module itself still gets the original.
 *
 * @param specifier What is imported
 * @param context Who imports it
 * @param nextResolve The usual way
 * @returns Where the module is
 */
export async function resolve(specifier: string, context: {readonly parentURL?: string}, nextResolve: NextResolve): Promise<Resolved> {
	const resolved = await nextResolve(specifier, context);
	const path = resolved.url.startsWith(buildFolder) ? resolved.url.slice(buildFolder.length) : '';
	const replacement = replacements[path];
	if (replacement === undefined || context.parentURL === buildFolder + replacement) {
		return resolved;
	}

	return {...resolved, url: buildFolder + replacement};
}
