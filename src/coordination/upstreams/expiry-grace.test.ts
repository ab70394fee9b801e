import {expect, test} from 'vitest';
import {createExpiryGrace} from '../mod.js';

const heartbeatIntervalMs = 1200;

test('the grace period ends two seconds after the last failed read of the store', () => {
	// Without a grace period, all callers are refused after an outage of some
	// seconds: every upstream's registration has expired, and each upstream takes
	// up to two seconds to register again.
	const grace = createExpiryGrace({heartbeatIntervalMs});
	grace.recordOutage({lastSuccessAt: 0, lastFailureAt: 5000, recoveredAt: 5200});
	expect(grace.findGraceEnd(5200)).toBe(7000);
	expect(grace.findGraceEnd(6900)).toBe(7000);
	expect(grace.findGraceEnd(7000)).toBeUndefined();
});

test('a recovery that is noticed late does not extend the grace period', () => {
	const grace = createExpiryGrace({heartbeatIntervalMs});
	grace.recordOutage({lastSuccessAt: 0, lastFailureAt: 5000, recoveredAt: 6800});
	expect(grace.findGraceEnd(6800)).toBe(7000);
});

test('an outage too short for a registration to expire grants no grace period', () => {
	// A single read fails because of a lost connection or a refusal; the removal
	// that is read next is of an upstream that left.
	const grace = createExpiryGrace({heartbeatIntervalMs});
	grace.recordOutage({lastSuccessAt: 0, lastFailureAt: 500, recoveredAt: 1700});
	expect(grace.findGraceEnd(1700)).toBeUndefined();
});

test('a short outage after a long one does not end the grace period', () => {
	// The store fails briefly during its recovery, while upstreams are still
	// registering again.
	const grace = createExpiryGrace({heartbeatIntervalMs});
	grace.recordOutage({lastSuccessAt: 0, lastFailureAt: 5000, recoveredAt: 5200});
	grace.recordOutage({lastSuccessAt: 5200, lastFailureAt: 5700, recoveredAt: 5900});
	expect(grace.findGraceEnd(6000)).toBe(7000);
});
