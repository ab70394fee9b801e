import {expect, test} from 'vitest';
import type {Route} from '../protocol/mod.js';
import {createRouteTable} from './mod.js';

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

test('findRoute() returns the route with the longest matching prefix', () => {
	expect(table.findRoute('beds.example', '/a/b/c')?.id).toBe('long');
	expect(table.findRoute('BEDS.example:8080', '/a/c')?.id).toBe('short');
});

test('findRoute() returns undefined if no prefix or host matches exactly', () => {
	expect(table.findRoute('beds.example', '/ab')).toBeUndefined();
	expect(table.findRoute('beds.example', '/a')).toBeUndefined();
	expect(table.findRoute('other.example', '/a/b/')).toBeUndefined();
});

test('findCustomerByKey() finds a customer by any of its keys and by no other key', () => {
	expect(table.findCustomerByKey('k2')?.id).toBe('c');
	expect(table.findCustomerByKey('k3')).toBeUndefined();
});
