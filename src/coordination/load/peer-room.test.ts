import {expect, test} from 'vitest';
import {isReadyForConnections} from './peer-room.js';

test.each([
	[{isOverloaded: false, peers: {total: 30, withRoom: 30}}, true],
	[{isOverloaded: true, peers: {total: 30, withRoom: 16}}, false],
	[{isOverloaded: true, peers: {total: 30, withRoom: 15}}, true],
	[{isOverloaded: true, peers: {total: 30, withRoom: 0}}, true],
	[{isOverloaded: true, peers: {total: 0, withRoom: 0}}, true],
])('a gateway asks for connections unless only it and a few others are overloaded: %o', (load, isReady) => {
	expect(isReadyForConnections(load)).toBe(isReady);
});
