import {expect, test} from 'vitest';
import {createConnectionAdmission} from './mod.js';

function shouldAccept({room, awaiting = 0, hasPeer = true}: {readonly room: number; readonly awaiting?: number; readonly hasPeer?: boolean}): boolean {
	return createConnectionAdmission({countRoom: () => room, hasPeerWithRoom: () => hasPeer}).shouldAccept(awaiting);
}

test('a gateway that is not overloaded accepts all connections', () => {
	expect(shouldAccept({room: Number.POSITIVE_INFINITY, awaiting: 1000})).toBe(true);
});

test('a gateway without room closes connections while another has room', () => {
	expect(shouldAccept({room: 1})).toBe(true);
	expect(shouldAccept({room: 0})).toBe(false);
});

// Guards against accepting in one turn of the event loop many connections whose requests are then refused.
test('connections whose requests have not been read take up room', () => {
	expect(shouldAccept({room: 3, awaiting: 2})).toBe(true);
	expect(shouldAccept({room: 3, awaiting: 3})).toBe(false);
});

// Guards against callers who find all gateways closing their connections and are not told when to come back.
test('a gateway without room accepts connections if no other has room', () => {
	expect(shouldAccept({room: 0, awaiting: 5, hasPeer: false})).toBe(true);
});
