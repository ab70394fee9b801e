/**
 * The services to which each route has led, and the software versions of each
 * service, since the fleet started for the first time. Kept in the log, they
 * outlive all gateways.
 *
 * @module
 */
import * as z from 'zod';
import type {StreamOrigin} from './stream-origin.js';

/** Schema of the record that a gateway writes: all that it knows, so that the newest record of any gateway suffices. */
export const originsRecordSchema = z.object({
	/** True if nothing can be missing: a gateway recorded from the first start of the fleet on. */
	isComplete: z.boolean(),
	/** Key of a route and a service to which it has led. */
	routes: z.array(z.tuple([z.string(), z.string()])),
	/** A service and a software version that an upstream of it has registered; null if it named none. */
	versions: z.array(z.tuple([z.string(), z.string().nullable()])),
});

/** What the log tells of the origins that streams can have. */
export type RecordedOrigins = ReturnType<typeof createRecordedOrigins>;

/** Options of {@linkcode createRecordedOrigins}. */
export type CreateRecordedOriginsOptions = {
	/** True if the whole fleet starts for the first time, so that nothing was before. */
	readonly isFirstStart: boolean;
};

/** Maximum number of pairs; with more of them nothing is recorded or found any more. A record holds about 200 KB then. */
const maxPairs = 2000;

/** @internal A set of pairs of texts. */
function createPairs() {
	const pairs = new Map<string, readonly [string, string | undefined]>();
	return {
		add(first: string, second: string | undefined): void {
			pairs.set(JSON.stringify([first, second]), [first, second]);
		},
		clear(): void {
			pairs.clear();
		},
		list: () => [...pairs.values()],
		count: () => pairs.size,
		includes: (other: {readonly listKeys: () => Iterable<string>}) => [...other.listKeys()].every(key => pairs.has(key)),
		listKeys: () => pairs.keys(),
	};
}

/** @internal */
function findOnlySecond(lists: ReadonlyArray<ReturnType<typeof createPairs>>, first: string): {readonly value: string | undefined} | undefined {
	const values = new Set(lists.flatMap(pairs => pairs.list()).filter(([key]) => key === first).map(([, value]) => value));
	return values.size === 1 ? {value: [...values][0]} : undefined;
}

/**
 * Creates an empty collection.
 *
 * @example
 * ```ts
 * const recorded = createRecordedOrigins({isFirstStart: true});
 * recorded.observeRoute('beds.example/letters/', 'model');
 * recorded.observeVersion('model', 'v1');
 * recorded.findOnly('beds.example/letters/')?.softwareVersion; // 'v1'
 * ```
 *
 * @param options Whether anything can have been before
 * @returns The collection
 */
export function createRecordedOrigins({isFirstStart}: CreateRecordedOriginsOptions) {
	const observed = {routes: createPairs(), versions: createPairs()};
	const logged = {routes: createPairs(), versions: createPairs()};
	let isLoggedComplete = false;

	const isTooLarge = (): boolean => [observed, logged].some(({routes, versions}) => routes.count() + versions.count() > maxPairs);

	return {
		/** Records that a route leads to a service. */
		observeRoute(routeKey: string, service: string): void {
			observed.routes.add(routeKey, service);
		},

		/** Records that an upstream of a service has registered a software version. */
		observeVersion(service: string, softwareVersion: string | undefined): void {
			observed.versions.add(service, softwareVersion);
		},

		/** Merges a record of the log; throws if it is malformed. */
		merge(text: string): void {
			const {isComplete, routes, versions} = originsRecordSchema.parse(JSON.parse(text));
			isLoggedComplete ||= isComplete;
			for (const [routeKey, service] of routes) {
				logged.routes.add(routeKey, service);
			}

			for (const [service, softwareVersion] of versions) {
				logged.versions.add(service, softwareVersion ?? undefined);
			}
		},

		/** Forgets the records of the log, which was restored from a backup that may lack some. */
		dropLogged(): void {
			isLoggedComplete = false;
			logged.routes.clear();
			logged.versions.clear();
		},

		/** Returns true if the log lacks something that was observed. */
		shouldRecord: (): boolean => !isTooLarge()
			&& ((isFirstStart && !isLoggedComplete) || !logged.routes.includes(observed.routes) || !logged.versions.includes(observed.versions)),

		/** Encodes all that is known. */
		encode(): string {
			const union = (kind: 'routes' | 'versions') => {
				const pairs = createPairs();
				for (const [first, second] of [...logged[kind].list(), ...observed[kind].list()]) {
					pairs.add(first, second);
				}

				return pairs.list().map(([first, second]) => [first, second ?? null]);
			};

			return JSON.stringify({isComplete: isFirstStart || isLoggedComplete, routes: union('routes'), versions: union('versions')});
		},

		/** Returns the only origin that the streams of a route have ever had; undefined if there were several, or some may be missing. */
		findOnly(routeKey: string): StreamOrigin | undefined {
			const service = isLoggedComplete && !isTooLarge() ? findOnlySecond([observed.routes, logged.routes], routeKey)?.value : undefined;
			const version = service === undefined ? undefined : findOnlySecond([observed.versions, logged.versions], service);
			return service === undefined || version?.value === undefined ? undefined : {service, softwareVersion: version.value};
		},
	};
}
