import {expect, test} from 'vitest';
import {Ok, type Deployment} from '../protocol/mod.js';
import {createRouteTable} from '../state/mod.js';
import {resolveRequest} from './request-resolver.js';

const deployment: Deployment = {
	version: 1,
	routes: [{
		id: 'r', host: 'h.example', prefix: '/a/', kind: 'stream', timeout: 300, objective: 100, priority: 0, targets: [{service: 's', weight: 1}, {service: 'none', weight: 0}], attempts: 1, isOpen: false, isResumable: false,
	}],
	services: [{id: 's', connectionLimit: 10}],
	customers: [{id: 'c', keys: ['k'], bought: 1000}],
	limits: {
		headerBytes: 1000, bodyBytes: 1000, headerTimeout: 1000, idleTimeout: 1000,
	},
};

function resolve({path = '/a/1', key = 'k', isConfigured = true} = {}) {
	const wire = {
		readRequest: () => Ok({
			id: 'r1', key, generation: {
				model: 'm', promptTokens: 30, maxOutputTokens: 1, parts: [{id: 'shared', tokens: 20}, {id: 'own', tokens: 10}],
			},
		}),
	};
	return resolveRequest({headers: {host: 'h.example'}, url: path}, {wire, table: isConfigured ? createRouteTable(deployment) : undefined});
}

test('a request has its route, service, customer and the shared parts of its prompt', () => {
	const resolved = resolve().unwrap();
	expect([resolved.route.id, resolved.service.id, resolved.customer?.id]).toEqual(['r', 's', 'c']);
	expect(resolved.parts.map(({id}) => id)).toEqual(['shared']);
});

test('a request without a route, a valid key or a configuration is refused', () => {
	const failures = [resolve({path: '/b/1'}), resolve({key: 'other'}), resolve({isConfigured: false})].map(resolved => resolved.err && resolved.val.type);
	expect(failures).toEqual(['unknown-route', 'unknown-key', 'not-ready']);
});
