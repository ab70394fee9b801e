import {expect, test} from 'vitest';
import {createValueHistory} from './mod.js';

function createStarted() {
	const history = createValueHistory();
	history.put('u1', {key: 's', value: 'v1'}, 100);
	return history;
}

test('a value is the only one since all others were given up, and only as far back as was observed', () => {
	const history = createStarted();
	expect(history.findOnly('s')).toEqual({value: 'v1', since: 100});
	expect(history.findOnly('other')).toBeUndefined();
	history.put('u2', {key: 's', value: 'v2'}, 200);
	expect(history.findOnly('s')).toBeUndefined();
	history.drop('u1', 300);
	expect(history.findOnly('s')).toEqual({value: 'v2', since: 301});
	history.drop('u2', 400);
	expect(history.findOnly('s')).toEqual({value: 'v2', since: 301});
});

test('a holder that changes its value or key has held both', () => {
	const history = createStarted();
	history.put('u1', {key: 's', value: 'v2'}, 200);
	expect(history.findOnly('s')).toEqual({value: 'v2', since: 201});
	history.replace(new Map([['u1', {key: 't', value: 'v3'}]]), 300);
	expect(history.findOnly('s')).toEqual({value: 'v2', since: 201});
	expect(history.findOnly('t')).toEqual({value: 'v3', since: 300});
});

test('a holder without a value may have had any', () => {
	const history = createStarted();
	history.put('u2', {key: 's', value: undefined}, 100);
	expect(history.findOnly('s')).toBeUndefined();
	history.drop('u2', 200);
	expect(history.findOnly('s')).toEqual({value: 'v1', since: 201});
	history.put('u1', {key: 's', value: undefined}, 300);
	expect(history.findOnly('s')).toBeUndefined();
});

test('nothing is known from before a gap in the records', () => {
	const history = createStarted();
	history.restart(500);
	expect(history.findOnly('s')).toEqual({value: 'v1', since: 500});
});

test('an evicted former value shortens what is known', () => {
	const history = createStarted();
	for (let index = 0; index < 70; index += 1) {
		history.put('u2', {key: 's', value: `w${index}`}, 200 + index);
	}

	history.put('u2', {key: 's', value: 'v1'}, 400);
	expect(history.findOnly('s')).toEqual({value: 'v1', since: 401});
});

test('a complete history reaches back to before its first value, until a gap', () => {
	const history = createValueHistory({isComplete: true});
	history.put('u1', {key: 's', value: 'v1'}, 100);
	expect(history.findOnly('s')).toEqual({value: 'v1', since: Number.NEGATIVE_INFINITY});
	history.put('u2', {key: 's', value: 'v2'}, 200);
	history.drop('u1', 300);
	expect(history.findOnly('s')).toEqual({value: 'v2', since: 301});
	history.restart(400);
	expect(history.findOnly('s')).toEqual({value: 'v2', since: 400});
});
