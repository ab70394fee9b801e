import {expect, test} from 'vitest';
import {createConnectionAdmission} from '../mod.js';

type Situation = {readonly room: number; readonly awaiting?: number; readonly peers?: number; readonly peersWithRoom?: number};

function createFixture() {
	const state = {
		now: 0, room: 0, peers: 3, peersWithRoom: 3,
	};
	const admission = createConnectionAdmission({
		countRoom: () => state.room,
		countPeers: () => ({total: state.peers, withRoom: state.peersWithRoom}),
		clock: {now: () => state.now, sleep: async () => undefined},
	});
	return {state, admission};
}

/** Decides on a connection that follows one which was just accepted. */
function shouldAccept({awaiting = 0, ...situation}: Situation): boolean {
	const {state, admission} = createFixture();
	admission.shouldAccept(0);
	Object.assign(state, situation);
	return admission.shouldAccept(awaiting);
}

test('a gateway that is not overloaded accepts all connections', () => {
	expect(shouldAccept({room: Number.POSITIVE_INFINITY, awaiting: 1000})).toBe(true);
});

test('a gateway without room closes connections while others have room', () => {
	expect(shouldAccept({room: 1})).toBe(true);
	expect(shouldAccept({room: 0})).toBe(false);
});

// Guards against accepting in one turn of the event loop many connections whose requests are then refused.
test('connections whose requests have not been read take up room', () => {
	expect(shouldAccept({room: 3, awaiting: 2})).toBe(true);
	expect(shouldAccept({room: 3, awaiting: 3})).toBe(false);
});

// Guards against callers who find all gateways closing their connections and do not learn when to come back.
test('a gateway without room accepts connections unless most others have room', () => {
	expect(shouldAccept({room: 0, awaiting: 5, peersWithRoom: 0})).toBe(true);
	expect(shouldAccept({room: 0, peers: 30, peersWithRoom: 1})).toBe(true);
	expect(shouldAccept({room: 0, peers: 30, peersWithRoom: 16})).toBe(false);
	expect(shouldAccept({room: 0, peers: 0, peersWithRoom: 0})).toBe(true);
});

// Guards against a gateway that is ready and takes no connection for seconds, because its running requests are long.
test('a gateway without room accepts a connection each half second', () => {
	const {state, admission} = createFixture();
	const accepted: number[] = [];
	for (state.now = 0; state.now < 3000; state.now += 10) {
		if (admission.shouldAccept(0)) {
			accepted.push(state.now);
		}
	}

	expect(accepted).toEqual([0, 500, 1000, 1500, 2000, 2500]);
});
