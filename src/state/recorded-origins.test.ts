import {expect, test} from 'vitest';
import {createRecordedOrigins} from './recorded-origins.js';

const route = 'h/letters/';

function createRecorded({isFirstStart = true, versions = ['v1']}: {readonly isFirstStart?: boolean; readonly versions?: ReadonlyArray<string | undefined>} = {}) {
	const recorded = createRecordedOrigins({isFirstStart});
	recorded.observeRoute(route, 's');
	for (const version of versions) {
		recorded.observeVersion('s', version);
	}

	return recorded;
}

test('the only origin is known to a gateway that starts later, from the record of one of the first start', () => {
	const first = createRecorded();
	expect([first.findOnly(route), first.shouldRecord()]).toEqual([undefined, true]);
	const record = first.encode();
	const later = createRecorded({isFirstStart: false});
	expect(later.findOnly(route)).toBe(undefined);
	later.merge(record);
	expect(later.findOnly(route)).toEqual({service: 's', softwareVersion: 'v1'});
	expect(later.shouldRecord()).toBe(false);
	later.dropLogged();
	expect([later.findOnly(route), later.shouldRecord()]).toEqual([undefined, true]);
});

// Guards against a version that is inferred although another one has served.
test.each([
	['a later version', (record: ReturnType<typeof createRecorded>) => {
		record.observeVersion('s', 'v2');
	}],
	['a version that is not named', (record: ReturnType<typeof createRecorded>) => {
		record.observeVersion('s', undefined);
	}],
	['another service of the route', (record: ReturnType<typeof createRecorded>) => {
		record.observeRoute(route, 't');
	}],
])('no origin is the only one after %s, also for a gateway that starts later', (_, change) => {
	const first = createRecorded();
	first.merge(first.encode());
	expect(first.findOnly(route)).toEqual({service: 's', softwareVersion: 'v1'});
	change(first);
	expect([first.findOnly(route), first.shouldRecord()]).toEqual([undefined, true]);
	const later = createRecorded({isFirstStart: false});
	later.merge(first.encode());
	expect(later.findOnly(route)).toBe(undefined);
});

test('a record without the first start of the fleet shows no only origin', () => {
	const recorded = createRecorded({isFirstStart: false});
	recorded.merge(recorded.encode());
	expect([recorded.findOnly(route), recorded.shouldRecord()]).toEqual([undefined, false]);
});

test('too many pairs show no only origin and are not recorded', () => {
	const recorded = createRecorded();
	recorded.merge(recorded.encode());
	for (let index = 0; index < 2001; index += 1) {
		recorded.observeRoute(`h/${index}/`, 's');
	}

	expect([recorded.findOnly(route), recorded.shouldRecord()]).toEqual([undefined, false]);
});

test.each(['null', '{}', '{"isComplete":true,"routes":[["r"]],"versions":[]}', '{"isComplete":1,"routes":[],"versions":[]}'])('a malformed record is refused: %s', text => {
	expect(() => {
		createRecorded().merge(text);
	}).toThrow();
});
