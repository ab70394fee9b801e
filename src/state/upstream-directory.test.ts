import {expect, test} from 'vitest';
import type {UpstreamEntry} from '../protocol/mod.js';
import {createUpstreamDirectory} from './mod.js';

const entry: UpstreamEntry = {
	id: 'u1', service: 's', address: '127.0.0.1:1', failureDomain: 'd', slots: 4, isDraining: false, warmUp: 0,
};

test('an upstream that is leaving never comes back', () => {
	// A caller's booking is cut off: an older record of the upstream is read
	// after the newer one that says it is leaving, and it gets work again.
	const directory = createUpstreamDirectory();
	directory.put({...entry, isDraining: true}, 0);
	directory.put(entry, 1);
	expect(directory.listLive('s', 2)).toEqual([]);
});

test('an entry that lapsed while the store was away keeps its upstream until the grace ends', () => {
	// All callers are refused after the store was away: every upstream's entry
	// lapsed meanwhile, and all come back a second later.
	const directory = createUpstreamDirectory();
	directory.put(entry, 0);
	directory.drop('u1', 2100);
	expect(directory.listLive('s', 2000).length).toBe(1);
	expect(directory.listLive('s', 2100).length).toBe(0);
	directory.put(entry, 2200);
	expect(directory.listLive('s', 2300).length).toBe(1);
});

test('an entry that is taken out while the store is well is gone at once', () => {
	const directory = createUpstreamDirectory();
	directory.put(entry, 0);
	directory.drop('u1');
	expect(directory.listLive('s', 100)).toEqual([]);
});

test('an upstream whose grace has passed is forgotten', () => {
	// The balancer keeps sending callers to a gateway that knows no upstream:
	// all entries lapsed, none came back, and the gateway still counts them.
	const directory = createUpstreamDirectory();
	directory.put(entry, 0);
	directory.drop('u1', 2100);
	directory.prune(2000);
	expect(directory.hasLive(2000)).toBe(true);
	directory.prune(2100);
	expect(directory.hasLive(2100)).toBe(false);
	expect(directory.listIds()).toEqual([]);
	expect(directory.get('u1')).toBeUndefined();
});
