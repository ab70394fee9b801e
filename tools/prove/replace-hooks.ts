/**
 * Module hooks that resolve imports of a product module to its replacement.
 *
 * @module
 */
import process from 'node:process';

type Resolved = {readonly url: string};
type NextResolve = (specifier: string, context: unknown) => Promise<Resolved>;

const replacements = JSON.parse(process.env.FIREFLYLANE_PROOF_REPLACE ?? '{}') as Record<string, string>;
const buildFolder = new URL('../../', import.meta.url).href;

/**
 * Resolves an import. The replacement itself still imports the original module.
 *
 * @param specifier The import specifier
 * @param context The importing module
 * @param nextResolve The default resolution
 * @returns The URL of the module or of its replacement
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
