import fc from 'fast-check';
import {expect, test} from 'vitest';
import {createEvacuations, type DomainState} from './evacuations.js';

const domainStates = fc.uniqueArray(fc.record({
	failureDomain: fc.constantFrom('a', 'b'), isEvacuated: fc.boolean(), offset: fc.nat(50), epoch: fc.constantFrom(undefined, 1, 2),
}), {
	selector: ({offset, epoch}) => `${epoch} ${offset}`, maxLength: 20,
});

test('records in any order and any number of copies give the state of the newest one', () => {
	// Guards against a record that arrives late, from the log or a peer, and reverts a newer one.
	fc.assert(fc.property(domainStates, fc.array(fc.nat(100)), (states, copies) => {
		const evacuations = createEvacuations();
		for (const state of [...states, ...copies.flatMap(index => states[index] ?? [])]) {
			evacuations.merge(state, 0);
		}

		const newest = new Map<string, DomainState>(states.toSorted((left, right) => ((left.epoch ?? 0) - (right.epoch ?? 0)) || (left.offset - right.offset)).map(state => [state.failureDomain, state]));
		for (const [failureDomain, {isEvacuated}] of newest) {
			expect(evacuations.isEvacuated(failureDomain)).toBe(isEvacuated);
		}
	}));
});

test('a return is announced to peers for a minute, an evacuation until it ends', () => {
	const evacuations = createEvacuations();
	evacuations.merge({failureDomain: 'a', offset: 1, isEvacuated: true}, 0);
	evacuations.merge({failureDomain: 'b', offset: 2, isEvacuated: true}, 0);
	evacuations.merge({failureDomain: 'b', offset: 3, isEvacuated: false}, 10_000);
	expect(evacuations.listAnnounced(69_000).map(({failureDomain}) => failureDomain)).toEqual(['b', 'a']);
	expect(evacuations.listAnnounced(71_000).map(({failureDomain}) => failureDomain)).toEqual(['a']);
	expect(evacuations.findReturnedAt('a')).toBeUndefined();
	expect(evacuations.findReturnedAt('b')).toBe(10_000);
});
