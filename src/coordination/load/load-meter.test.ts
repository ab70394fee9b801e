import {expect, test} from 'vitest';
import {createLoadMeter, loadIntervalMs, type ResourceCounters} from '../mod.js';

const idle: ResourceCounters = {
	processorMs: 0, receivedBytes: 0, sentBytes: 0, residentBytes: 0,
};

function createFixture(capacity: Parameters<typeof createLoadMeter>[0]['capacity']) {
	const state = {now: 0, counters: idle};
	const meter = createLoadMeter({capacity, clock: {now: () => state.now}, readCounters: () => state.counters});
	return {
		meter,
		step(use: Partial<ResourceCounters>, elapsedMs = loadIntervalMs): void {
			state.now += elapsedMs;
			const {counters} = state;
			state.counters = {
				processorMs: counters.processorMs + (use.processorMs ?? 0), receivedBytes: counters.receivedBytes + (use.receivedBytes ?? 0),
				sentBytes: counters.sentBytes + (use.sentBytes ?? 0), residentBytes: use.residentBytes ?? 0,
			};
			meter.measure();
		},
	};
}

// Guards against adding up the directions of a link, which has its capacity in each.
test('the meter reports the shares of the processor, of the busier direction of the link and of memory', () => {
	const {meter, step} = createFixture({processorCores: 0.25, linkBytesPerSecond: 1_050_000, memoryBytes: 200});
	step({
		processorMs: 31.25, receivedBytes: 125_000, sentBytes: 100_000, residentBytes: 90,
	});
	expect(meter.getLatest()).toEqual({processorShare: 0.5, linkShare: 0.5, memoryShare: 0.45});
});

// Guards against leaving the rotation because of one long prompt, and against needing more than a second to see a lasting load.
test('the smoothed share reaches a lasting load after one second', () => {
	const {meter, step} = createFixture({processorCores: 1});
	const smoothed: number[] = [];
	for (let interval = 0; interval < 5; interval += 1) {
		step({processorMs: 250});
		smoothed.push(meter.getSmoothed().processorShare);
	}

	step({});
	expect(smoothed).toEqual([0.25, 0.5, 0.75, 1, 1]);
	expect(meter.getSmoothed().processorShare).toBe(0.75);
});

// Guards against a figure that gossip cannot encode, which would end all gossip of this gateway.
test.each([Number.NaN, Number.POSITIVE_INFINITY, -5])('a counter of %d yields a share that can be advertised', value => {
	const {meter, step} = createFixture({processorCores: 1, linkBytesPerSecond: 1, memoryBytes: 1});
	step({processorMs: value, receivedBytes: value, residentBytes: value});
	for (const share of [...Object.values(meter.getLatest()), ...Object.values(meter.getSmoothed())]) {
		expect(share).toBeGreaterThanOrEqual(0);
		expect(share).toBeLessThanOrEqual(100);
	}
});

test('resources without a capacity are not measured, and two measurements at one time are one', () => {
	const {meter, step} = createFixture({});
	step({processorMs: 250, receivedBytes: 1e9, residentBytes: 1e9});
	step({processorMs: 250}, 0);
	expect(meter.getLatest()).toEqual({processorShare: 0, linkShare: 0, memoryShare: 0});
});
