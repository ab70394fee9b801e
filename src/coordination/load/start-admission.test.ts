import {expect, test} from 'vitest';
import {createStartAdmission} from '../mod.js';

const linkBytesPerSecond = 875_000;
const tickMs = 250;
const bodyBytes = 17_000;

function createFixture(link: number | undefined) {
	const state = {now: 0, hasDeployment: false, changes: [] as boolean[]};
	const admission = createStartAdmission({
		linkBytesPerSecond: link, clock: {now: () => state.now}, hasDeployment: () => state.hasDeployment,
		onChange({isLimited}) {
			state.changes.push(isLimited);
		},
	});
	return {state, admission};
}

// Guards against the gateway that rejected 426 requests of 17 KB in 5 s and could not read the deployment meanwhile.
test('rejected requests use at most a quarter of the link before a deployment is known', () => {
	const {state, admission} = createFixture(linkBytesPerSecond);
	let accepted = 0;
	let unmeasuredBytes = 0;
	for (let request = 0; request < 426; request += 1) {
		state.now += 5000 / 426;
		if (Math.floor(state.now / tickMs) > Math.floor((state.now - (5000 / 426)) / tickMs)) {
			admission.recordCallerBytes(unmeasuredBytes);
			unmeasuredBytes = 0;
		}

		if (admission.shouldAccept()) {
			accepted += 1;
			unmeasuredBytes += bodyBytes;
		}
	}

	expect(accepted * bodyBytes / 5).toBeLessThanOrEqual(0.3 * linkBytesPerSecond);
	expect(accepted * bodyBytes / 5).toBeGreaterThan(0.15 * linkBytesPerSecond);
	expect(state.changes[0]).toBe(true);
});

// Guards against new connections while kept ones already use the share with their rejected requests.
test('the bytes of kept connections count', () => {
	const {state, admission} = createFixture(linkBytesPerSecond);
	admission.recordCallerBytes(linkBytesPerSecond / 2);
	expect(admission.shouldAccept()).toBe(false);
	state.now += 1000;
	admission.recordCallerBytes(0);
	expect(admission.shouldAccept()).toBe(true);
	expect(state.changes).toEqual([true, false]);
});

// Guards against a gateway that reports ready, which it does only with a deployment, and closes connections.
test('every connection is accepted once a deployment is known, or if the link is not known', () => {
	const {state, admission} = createFixture(linkBytesPerSecond);
	admission.recordCallerBytes(linkBytesPerSecond);
	expect(admission.shouldAccept()).toBe(false);
	state.hasDeployment = true;
	expect(admission.shouldAccept()).toBe(true);
	admission.recordCallerBytes(linkBytesPerSecond);
	expect(state.changes).toEqual([true, false]);

	const unlimited = createFixture(undefined).admission;
	unlimited.recordCallerBytes(1e9);
	expect(unlimited.shouldAccept()).toBe(true);
});
