import {expect, test} from 'vitest';
import type {Route, UpstreamEntry} from '../protocol/mod.js';
import {createRouteTable, createUpstreamDirectory} from './mod.js';

function buildRoute(id: string, prefix: string): Route {
	return {
		id, host: 'beds.example', prefix, kind: 'once', timeout: 1000, objective: 300, priority: 0, isOpen: false, attempts: 1, isResumable: false, targets: [{service: 's', weight: 1}],
	};
}

const table = createRouteTable({
	version: 1,
	routes: [buildRoute('short', '/a/'), buildRoute('long', '/a/b/')],
	services: [],
	customers: [{id: 'c', keys: ['k1', 'k2']}],
	limits: {
		headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1,
	},
});

test('findRoute takes the longest prefix', () => {
	expect(table.findRoute('beds.example', '/a/b/c')?.id).toBe('long');
	expect(table.findRoute('BEDS.example:8080', '/a/c')?.id).toBe('short');
});

test('findRoute refuses a prefix that almost fits', () => {
	expect(table.findRoute('beds.example', '/ab')).toBeUndefined();
	expect(table.findRoute('beds.example', '/a')).toBeUndefined();
	expect(table.findRoute('other.example', '/a/b/')).toBeUndefined();
});

test('findCustomerByKey knows every key and no other', () => {
	expect(table.findCustomerByKey('k2')?.id).toBe('c');
	expect(table.findCustomerByKey('k3')).toBeUndefined();
});

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
