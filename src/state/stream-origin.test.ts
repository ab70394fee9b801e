import {expect, test} from 'vitest';
import {isFitFor} from './mod.js';

test('an upstream continues only streams of its service and version', () => {
	const upstream = {service: 's', softwareVersion: 'v1'};
	expect(isFitFor(upstream, undefined)).toBe(true);
	expect(isFitFor(upstream, {service: 's', softwareVersion: 'v1'})).toBe(true);
	expect(isFitFor(upstream, {service: 's', softwareVersion: 'v1.1'})).toBe(false);
	expect(isFitFor(upstream, {service: 'other', softwareVersion: 'v1'})).toBe(false);
});

test('an unknown version fits no stream, not even one of an unknown version', () => {
	const upstream = {service: 's', softwareVersion: undefined};
	expect(isFitFor(upstream, {service: 's', softwareVersion: 'v1'})).toBe(false);
	expect(isFitFor(upstream, {service: 's', softwareVersion: undefined})).toBe(false);
});
