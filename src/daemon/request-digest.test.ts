import {expect, test} from 'vitest';
import {computeRequestDigest} from './request-digest.js';

const request = {
	host: 'h', method: 'POST', path: '/a/1', customer: 'c', body: new TextEncoder().encode('x'),
};

test('a repeated request has the same digest', () => {
	expect(computeRequestDigest({...request, body: new TextEncoder().encode('x')})).toBe(computeRequestDigest(request));
});

test.each([
	['host', {host: 'other'}],
	['method', {method: 'PUT'}],
	['path', {path: '/a/2'}],
	['query', {path: '/a/1?b'}],
	['customer', {customer: 'd'}],
	['body', {body: new TextEncoder().encode('y')}],
])('requests that differ in their %s have different digests', (_part, other) => {
	expect(computeRequestDigest({...request, ...other})).not.toBe(computeRequestDigest(request));
});
