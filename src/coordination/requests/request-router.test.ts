import {expect, test} from 'vitest';
import {createVirtualTime} from '../../../tools/measure/virtual-clock.js';
import {
	Ok, createFailure, type EventLog, type Failure,
} from '../../protocol/mod.js';
import {
	createRequestRouter, createRetryBudget, type Attempt, type AttemptOutcome, type AttemptRunner, type LogFollower, type RouteRegistry, type RoutedCall, type RoutingPolicy,
} from '../mod.js';

const events: EventLog = {write: () => undefined, counts: new Map()};
const daemons = ['up-1', 'up-2', 'up-3', 'up-4'];

/** Runs a call whose first attempts end with the given failures, in order; returns where it was sent and its result. */
async function play(failures: readonly Failure[]) {
	const time = createVirtualTime();
	const left = [...failures];
	const sentTo: string[] = [];
	const attempts = {
		start: async (call: RoutedCall, member: {daemon: string}) => Ok({call, member, nextSequence: 0} as unknown as Attempt),
		attach: () => undefined,
		// eslint-disable-next-line require-yield
		async * run({member}: Attempt): AsyncGenerator<Uint8Array, AttemptOutcome> {
			sentTo.push(member.daemon);
			const failure = left.shift();
			return failure ? {kind: 'refused', failure} : {kind: 'done', end: undefined as never};
		},
	} as unknown as AttemptRunner;
	const router = createRequestRouter({
		follower: {state: () => ({placement: {get: (daemon: string) => ({daemon})}, runs: {get: () => undefined}}), isLogUp: () => true} as unknown as LogFollower,
		attempts,
		routes: {
			listCandidates: (_target: string, tried: ReadonlySet<string>) => daemons.filter(daemon => !tried.has(daemon)).map(daemon => ({daemon})),
			recordStart: () => undefined,
			recordEnd: () => undefined,
		} as unknown as RouteRegistry,
		policy: {pick: (_query: unknown, candidates: ReadonlyArray<{daemon: string}>) => candidates[0]} as unknown as RoutingPolicy,
		retries: createRetryBudget({ratio: 0.2, burst: 10}), clock: time, events, upstreamWaitMs: 1000,
	});
	const call: RoutedCall = {
		requestId: 'r1', isKeyed: false, work: 1, target: 'm', mayRepeat: true, budget: 'b', worstCaseTokens: 10, priority: 0, payload: new Uint8Array(), prefix: '', deadline: 60_000, tokenTimeoutMs: 1000,
		signal: new AbortController().signal,
	};
	const stream = router.run(call);
	let item = await stream.next();
	while (!item.done) {
		item = await stream.next();
	}

	return {sentTo, result: item.value};
}

// Guards against a request that crashes the engine of one upstream daemon after the other.
test('a request whose answer was interrupted at two upstreams is not sent to a third', async () => {
	const interrupted = createFailure('answer-cut', 'The engine process ended at event 0', {ran: 'unknown'});
	const {sentTo, result} = await play([interrupted, interrupted, interrupted, interrupted]);
	expect(sentTo).toEqual(['up-1', 'up-2']);
	expect(result.err && result.val.type).toBe('answer-cut');
});

test('a request that an upstream refuses as overloaded is sent to the next one', async () => {
	const busy = createFailure('overloaded', 'The queue is full');
	const {sentTo, result} = await play([busy, busy, busy]);
	expect(sentTo).toEqual(daemons);
	expect(result.ok).toBe(true);
});
