import {expect, test} from 'vitest';
import {createByteLimits} from './mod.js';

test('the largest holder is cut until the rest fits', () => {
	const cut: string[] = [];
	const limits = createByteLimits({maxHeldBytes: 100});
	const open = (name: string) => limits.openHolder('assembled', () => {
		cut.push(name);
	});
	open('small').set(40);
	const large = open('large');
	large.set(50);
	expect(cut).toEqual([]);
	open('last').set(30);
	expect(cut).toEqual(['large']);
	// A holder that was cut counts no more, also if it goes on.
	large.set(500);
	expect([limits.countHeld(), limits.countMaxHeld()]).toEqual([70, 90]);
	open('own').set(1000);
	expect(cut).toEqual(['large', 'own']);
	expect(limits.countHeld()).toBe(70);
});

test('holders that close, set their bytes again or are cut while they are cut leave an exact total', () => {
	// Guards against a total that drifts, until every response is cut or none.
	const limits = createByteLimits({maxHeldBytes: 100});
	const other = limits.openHolder('unsent', () => undefined);
	const holder = limits.openHolder('received', () => {
		other.close();
		holder.set(7);
		holder.close();
	});
	other.set(20);
	holder.set(60);
	holder.set(90);
	expect(limits.countHeld()).toBe(0);
	expect(limits.listCuts()).toContainEqual(['held', 1]);
});

test('protected holders are not cut, and large ones leave half of the limit to small ones', () => {
	// Guards against a body that is freed while its request runs, and against small ones refused because of large ones.
	const cut: number[] = [];
	const limits = createByteLimits({maxHeldBytes: 1000});
	const open = (bytes: number) => {
		const holder = limits.openHolder('body', () => {
			cut.push(bytes);
		});
		holder.set(bytes);
		return holder;
	};

	const first = open(600);
	expect([first, open(20), open(7), open(0)].map(holder => holder.tryProtect())).toEqual([true, false, true, true]);
	open(390);
	expect(cut).toEqual([390]);
	first.close();
	expect([open(400).tryProtect(), open(101).tryProtect()]).toEqual([true, false]);
	expect(Array.from({length: 90}, () => open(7).tryProtect()).indexOf(false)).toBe(Math.floor((1000 - 407) / 7));
	expect(limits.countHeld()).toBeLessThanOrEqual(1000);
});

test('bytes can be held if they fit, or if a larger holder would be cut', () => {
	const limits = createByteLimits({maxHeldBytes: 100});
	limits.openHolder('body', () => undefined).set(70);
	expect([30, 31, 69, 70].map(bytes => limits.canHold(bytes))).toEqual([true, true, true, false]);
});
