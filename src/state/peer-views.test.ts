import fc from 'fast-check';
import {expect, test} from 'vitest';
import {createPeerViews, type PeerView} from './mod.js';

function buildView(daemon: string, incarnation: string, uses: PeerView['uses']): PeerView {
	return {
		daemon, incarnation, address: `${daemon}:1`, free: [], uses, version: 1, isLeaving: false, hasRoom: true, crashes: [], parts: [], domains: [], limits: [],
	};
}

test('an entry is new only once, and never after a newer entry', () => {
	const views = createPeerViews();
	views.put(buildView('e1', 'b', []), {sequence: 5, now: 0});
	expect(views.isNewer({daemon: 'e1', incarnation: 'b', sequence: 5})).toBe(false);
	expect(views.isNewer({daemon: 'e1', incarnation: 'b', sequence: 6})).toBe(true);
	expect(views.isNewer({daemon: 'e1', incarnation: 'a', sequence: 9})).toBe(false);
	expect(views.isNewer({daemon: 'e1', incarnation: 'c', sequence: 1})).toBe(true);
});

test('views older than the limit are deleted and their requests subtracted from the sums', () => {
	const views = createPeerViews();
	views.put(buildView('e1', 'a', [{upstream: 'u', inFlight: 2, waitingTokens: 10}]), {sequence: 1, now: 0});
	views.put(buildView('e2', 'a', [{upstream: 'u', inFlight: 1, waitingTokens: 5}]), {sequence: 1, now: 100});
	expect(views.dropStale(50)).toEqual(['e1']);
	expect(views.sumUse('u')).toEqual({upstream: 'u', inFlight: 1, waitingTokens: 5});
});

// If the sums deviated from the views, an upstream would look loaded or idle permanently.
test('the sums match the views after any changes', () => {
	const use = fc.record({
		upstream: fc.constantFrom('u1', 'u2'), inFlight: fc.nat(5), waitingTokens: fc.nat(100), heldTokens: fc.option(fc.nat(50_000), {nil: undefined}), slowness: fc.option(fc.integer({min: 1, max: 100_000}).map(percent => percent / 100), {nil: undefined}),
	});
	const change = fc.record({daemon: fc.constantFrom('e1', 'e2', 'e3'), uses: fc.uniqueArray(use, {selector: item => item.upstream}), isDropped: fc.boolean()});
	fc.assert(fc.property(fc.array(change), changes => {
		const views = createPeerViews();
		for (const [now, {daemon, uses, isDropped}] of changes.entries()) {
			views.put(buildView(daemon, 'a', uses), {sequence: now, now});
			if (isDropped) {
				views.dropStale(now);
			}
		}

		for (const upstream of ['u1', 'u2']) {
			const all = views.list().flatMap(view => view.uses.filter(item => item.upstream === upstream));
			const stated = all.filter(item => item.heldTokens !== undefined);
			const statedInFlight = stated.reduce((sum, item) => sum + item.inFlight, 0);
			const values = all.map(item => item.slowness).filter(value => value !== undefined);
			const {slowness, ...sums} = views.sumUse(upstream);
			expect(sums).toEqual({
				upstream,
				inFlight: all.reduce((sum, item) => sum + item.inFlight, 0),
				waitingTokens: all.reduce((sum, item) => sum + item.waitingTokens, 0),
				heldTokens: statedInFlight > 0 ? stated.reduce((sum, item) => sum + item.heldTokens!, 0) : undefined,
				statedInFlight: statedInFlight > 0 ? statedInFlight : undefined,
			});
			expect(slowness === undefined).toBe(values.length === 0);
			if (slowness !== undefined) {
				expect(slowness).toBeCloseTo(values.reduce((sum, value) => sum + value, 0) / values.length, 6);
			}
		}
	}));
});

test('a view counts no slowness above the largest that is believed', () => {
	// Guards against one gateway whose entry outweighs what all others state of an engine.
	const views = createPeerViews();
	const slowness = 40_000_000;
	views.put(buildView('e1', 'a', [{
		upstream: 'u', inFlight: 1, waitingTokens: 0, slowness,
	}]), {sequence: 1, now: 0});
	expect(views.sumUse('u').slowness).toBe(1000);
});
