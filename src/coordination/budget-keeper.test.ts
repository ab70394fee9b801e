import fc from 'fast-check';
import {expect, test} from 'vitest';
import {createFakeKeyedLog, type AppendFate, type FakeKeyedLog} from '../../tools/harness/fake-keyed-log.js';
import type {Deployment, EventLog} from '../protocol/mod.js';
import {
	createGrantBook, createRouteTable, createTokenAccount, holderRecordSchema, type PeerView, type RouteTable, type TokenReservation,
} from '../state/mod.js';
import {
	createBudgetKeeper, createKeyedFollower, createTokenLending, type LendAsk,
} from './mod.js';

// A small world of real keepers over one log in memory: appends collide, their
// answers are lost, some are carried out late, gateways die and start anew.

const events: EventLog = {write: () => undefined, counts: new Map()};
const customer = 'c1';

function buildTable(version: number, bought: number): RouteTable {
	const deployment: Deployment = {
		version, routes: [], services: [], customers: [{id: customer, keys: ['k'], bought}], limits: {
			headerBytes: 1000, bodyBytes: 1000, headerTimeout: 1000, idleTimeout: 1000,
		},
	};
	return createRouteTable(deployment);
}

/** Each gateway claims for itself, or the first claims for all. */
type HomeMode = 'each' | 'first';

async function createWorld(bought: number, mode: HomeMode = 'each') {
	const log = createFakeKeyedLog();
	let table = buildTable(1, bought);
	let now = 0;
	const clock = {
		now: () => now,
		async sleep() {
			now += 1;
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		},
	};
	const gateways: Gateway[] = [];
	let serial = 0;
	/** Gateways that answer nobody. */
	const silent = new Set<string>();
	/** Tokens spent or reserved at gateways that died: callers may have got them. */
	let buried = 0;

	function start(index: number, fake: FakeKeyedLog = log) {
		serial += 1;
		const daemon = `e${index}`;
		const stopper = new AbortController();
		const account = createTokenAccount();
		const book = createGrantBook();
		const self = {
			role: 'gateway' as const, daemon, incarnation: `i${serial}`, address: daemon, failureDomain: 'd',
		};
		const follower = createKeyedFollower({
			log: fake.open(), clock, events, wait: 0, every: 1,
			onRecord({key, value}) {
				const record = holderRecordSchema.parse(JSON.parse(value ?? 'null'));
				book.put(key, record);
				if (key === `${daemon}/${self.incarnation}`) {
					keeper.takeOwnRecord(record);
				}
			},
		});
		const lending = createTokenLending({
			daemon, account, events,
			listViews: () => gateways.filter(other => other.daemon !== daemon).map((other): PeerView => ({
				daemon: other.daemon, incarnation: 'i', address: other.daemon, free: [{customer, tokens: Math.max(0, other.account.countFree(customer))}], uses: [], version: 1, isLeaving: false, crashes: [],
			})),
			listSilent: () => [],
			countWanted: id => keeper.countWanted(id),
			clock,
			listHomes: () => mode === 'each' ? [] : ['e0', 'e1', 'e2'],
			isHome: () => mode === 'each' || index === 0,
			claim: async (id, amount) => keeper.claimFor(id, amount),
			onLent(id, amount) {
				keeper.noteLent(id, amount);
			},
			async ask(address: string, ask: LendAsk) {
				if (silent.has(address)) {
					throw new Error('The gateway does not answer');
				}

				return gateways.find(other => other.daemon === address)!.lending.lend(ask);
			},
		});
		const keeper = createBudgetKeeper({
			self, log: fake.open(), follower, book, account, findTable: () => table, borrow: lending.borrow, homes: {isHome: () => mode === 'each' || index === 0, isSmall: () => mode === 'each', countClaimers: () => mode === 'each' ? 3 : 1}, clock, events, signal: stopper.signal,
		});
		return {
			daemon, keeper, account, lending, stopper, reservations: [] as TokenReservation[],
		};
	}

	type Gateway = ReturnType<typeof start>;

	function countUsed({account}: Gateway): number {
		const {spent, reserved} = account.get(customer);
		return spent + reserved;
	}

	for (const index of [0, 1, 2]) {
		gateways.push(start(index));
	}

	// A gateway asks the log only after it has reached it once.
	for (const gateway of gateways) {
		await gateway.keeper.renew();
	}

	const first = log.records.length;

	return {
		log, gateways, first, silent,
		setBought(version: number, amount: number) {
			table = buildTable(version, amount);
		},
		restart(index: number) {
			buried += countUsed(gateways[index]!);
			gateways[index]!.stopper.abort();
			gateways[index] = start(index);
		},
		sumUsed: () => gateways.reduce((sum, gateway) => sum + countUsed(gateway), buried),
		sumFree: () => gateways.reduce((sum, gateway) => sum + gateway.account.countFree(customer), 0),
	};
}

const indexArbitrary = fc.integer({min: 0, max: 2});
const stepArbitrary = fc.oneof(
	{weight: 6, arbitrary: fc.record({kind: fc.constant('ask' as const), index: indexArbitrary, amount: fc.integer({min: 1, max: 400})})},
	{weight: 6, arbitrary: fc.record({kind: fc.constant('together' as const), amounts: fc.tuple(fc.integer({min: 0, max: 600}), fc.integer({min: 0, max: 600}), fc.integer({min: 0, max: 600}))})},
	{weight: 4, arbitrary: fc.record({kind: fc.constant('settle' as const), index: indexArbitrary, share: fc.double({min: 0, max: 1, noNaN: true})})},
	{weight: 3, arbitrary: fc.record({kind: fc.constant('renew' as const), index: indexArbitrary})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('kill' as const), index: indexArbitrary})},
	{weight: 3, arbitrary: fc.record({kind: fc.constant('fate' as const), fate: fc.constantFrom<AppendFate>('lost-after', 'lost-before', 'late')})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('release-late' as const)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('away' as const), isAway: fc.constantFrom(true, false, false)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('top-up' as const), amount: fc.integer({min: 1, max: 1000})})},
);

test.each<HomeMode>(['each', 'first'])('no order of claims, loans, losses and deaths spends more than was bought: %s claims', async mode => {
	await fc.assert(fc.asyncProperty(fc.array(stepArbitrary, {minLength: 30, maxLength: 80}), async steps => {
		let bought = 2000;
		let version = 1;
		const world = await createWorld(bought, mode);
		for (const step of steps) {
			switch (step.kind) {
				case 'ask': {
					const gateway = world.gateways[step.index]!;
					const reservation = await gateway.keeper.acquire(customer, step.amount, {patience: 300});
					if (reservation.ok) {
						gateway.reservations.push(reservation.val);
					}

					break;
				}

				case 'together': {
					// At the same time, so that claims collide; 0 asks for nothing and looks at what is idle.
					await Promise.all(world.gateways.map(async (gateway, index) => {
						const amount = step.amounts[index]!;
						const reservation = amount > 0 ? await gateway.keeper.acquire(customer, amount, {patience: 300}) : undefined;
						await gateway.keeper.renew();
						if (reservation?.ok) {
							gateway.reservations.push(reservation.val);
						}
					}));
					break;
				}

				case 'settle': {
					const gateway = world.gateways[step.index]!;
					const reservation = gateway.reservations.pop();
					if (reservation) {
						gateway.keeper.settle(reservation, Math.floor(reservation.amount * step.share));
					}

					break;
				}

				case 'renew': {
					await world.gateways[step.index]!.keeper.renew();
					break;
				}

				case 'kill': {
					world.restart(step.index);
					break;
				}

				case 'fate': {
					world.log.fates.push(step.fate);
					break;
				}

				case 'release-late': {
					world.log.releaseLate();
					break;
				}

				case 'away': {
					world.log.isAway = step.isAway;
					break;
				}

				case 'top-up': {
					bought += step.amount;
					version += 1;
					world.setBought(version, bought);
				}
			}

			expect(world.sumUsed() + world.sumFree()).toBeLessThanOrEqual(bought);
		}
	}), {numRuns: 150, seed: 7});
});

test('a claim whose answer is lost is found on the log', async () => {
	// A caller is refused though tokens remain: the append of the claim took
	// effect, its answer was lost, and the gateway does not look for it.
	const world = await createWorld(1000);
	world.log.fates.push('lost-after');
	const reservation = await world.gateways[0]!.keeper.acquire(customer, 300, {patience: 300});
	expect(reservation.ok).toBe(true);
	expect(world.log.records.length).toBe(world.first + 1);
});

test('a gateway that finds its own tokens used up borrows while the log is away', async () => {
	// Callers at one gateway are refused in a cut from the store although
	// another gateway holds plenty: each only looked at its own grant.
	const world = await createWorld(10_000);
	const held = await world.gateways[1]!.keeper.acquire(customer, 1000, {patience: 300});
	world.gateways[1]!.keeper.settle(held.unwrap(), 10);
	await world.gateways[0]!.keeper.acquire(customer, 100, {patience: 300});
	const free = world.gateways[0]!.account.countFree(customer);
	world.log.isAway = true;
	const reservation = await world.gateways[0]!.keeper.acquire(customer, free + 500, {patience: 300});
	expect(reservation.ok).toBe(true);
});

test('a gateway that starts again claims at once what its callers asked for before', async () => {
	// All gateways have lost power. Each first request of each customer waits
	// for a claim of its own, against those of all other gateways.
	const world = await createWorld(1_000_000);
	for (let index = 0; index < 20; index += 1) {
		const reservation = await world.gateways[0]!.keeper.acquire(customer, 500, {patience: 300});
		world.gateways[0]!.keeper.settle(reservation.unwrap(), 500);
	}

	await world.gateways[0]!.keeper.renew();
	world.restart(0);
	await world.gateways[0]!.keeper.renew();
	const records = world.log.records.length;
	const reservation = await world.gateways[0]!.keeper.acquire(customer, 500, {patience: 300});
	expect(reservation.ok).toBe(true);
	expect(world.log.records.length).toBe(records);
});

test('an amount that was lowered is given back at once', async () => {
	// The operator lowers a budget; gateways hold more than is left of it and
	// would go on spending what nobody has bought.
	const world = await createWorld(10_000);
	await world.gateways[0]!.keeper.acquire(customer, 1000, {patience: 300});
	await world.gateways[1]!.keeper.acquire(customer, 1000, {patience: 300});
	world.setBought(2, 2100);
	await world.gateways[0]!.keeper.renew();
	await world.gateways[1]!.keeper.renew();
	expect(world.sumUsed() + world.sumFree()).toBeLessThanOrEqual(2100);
});

test('tokens on their way back cannot be reserved', async () => {
	// A budget is lowered; while the record that gives tokens back is on its
	// way, a request reserves them, and another gateway claims them as well.
	const world = await createWorld(10_000);
	const {account, keeper} = world.gateways[0]!;
	await keeper.acquire(customer, 1000, {patience: 300});
	world.setBought(2, 1000);
	world.log.onAppend = () => {
		account.reserve(customer, account.countFree(customer));
	};

	await keeper.renew();
	expect(world.sumUsed()).toBeLessThanOrEqual(1000);
});

test('the rest of a budget is told as exhausted, not as busy', async () => {
	const world = await createWorld(1000);
	await world.gateways[0]!.keeper.acquire(customer, 900, {patience: 300});
	const refused = await world.gateways[1]!.keeper.acquire(customer, 500, {patience: 300});
	expect(refused.err && refused.val.type).toBe('budget-exhausted');
});

test('a stop gives everything back that was not used', async () => {
	const world = await createWorld(1000);
	const reservation = await world.gateways[0]!.keeper.acquire(customer, 300, {patience: 300});
	world.gateways[0]!.keeper.settle(reservation.unwrap(), 120);
	await world.gateways[0]!.keeper.end();
	const all = await world.gateways[1]!.keeper.acquire(customer, 880, {patience: 300});
	expect(all.ok).toBe(true);
});

/** A keeper whose claims hang, as on a store that went silent. */
function createHangingKeeper({sinceAnswer, tokensElsewhere}: {readonly sinceAnswer: number; readonly tokensElsewhere: boolean}) {
	let now = 0;
	const never = new Promise<never>(() => undefined); // eslint-disable-line no-promise-executor-return
	const account = createTokenAccount();
	const keeper = createBudgetKeeper({
		self: {
			role: 'gateway', daemon: 'e1', incarnation: 'i1', address: 'e1', failureDomain: 'd',
		},
		log: createFakeKeyedLog().open(),
		follower: {
			next: () => 0, isUp: () => true, countSinceAnswer: () => sinceAnswer, catchUp: async () => never, takeOwn: () => undefined, run: async () => never,
		},
		book: createGrantBook(),
		account,
		findTable: () => buildTable(1, 1000),
		homes: {isHome: () => true, isSmall: () => true, countClaimers: () => 4},
		async borrow(id, {needed}) {
			if (tokensElsewhere) {
				account.addBorrowed(id, needed);
			}

			return {tokens: tokensElsewhere ? needed : 0, isComplete: true};
		},
		clock: {
			now: () => now,
			async sleep(span) {
				now += span;
			},
		},
		events,
		signal: new AbortController().signal,
	});
	return {
		keeper,
		now: () => now,
		pass(span: number) {
			now += span;
		},
	};
}

test('while claims are slow, tokens come from other gateways first', async () => {
	// A caller gets its first words two seconds late: its gateway has too few
	// tokens and waits for a store that answers each call after 0.4 s, though
	// another gateway has plenty and answers in milliseconds.
	const {keeper, now, pass} = createHangingKeeper({sinceAnswer: 0, tokensElsewhere: true});
	void keeper.renew();
	pass(100);
	const reservation = await keeper.acquire(customer, 400, {patience: 2000});
	expect(reservation.ok).toBe(true);
	// No claim was waited for.
	expect(now()).toBe(100);
});

test.each([[300, 'budget-exhausted'], [1700, 'budget-busy']])('a request that a purchase does not cover, by a log read %s ms ago, ends with %s', async (sinceAnswer, type) => {
	// A caller is told for good that its budget is used up, by a log that went
	// silent: what other gateways have given back since was never read, and the
	// next failed read is seconds away.
	const {keeper} = createHangingKeeper({sinceAnswer, tokensElsewhere: false});
	const reservation = await keeper.acquire(customer, 1001, {patience: 200});
	expect(reservation.err && reservation.val.type).toBe(type);
});

test('a rush is claimed for before its first request ends', async () => {
	// Callers of a rush wait for a claim each: what they use counts when their
	// streams end, seconds later, so nothing is claimed ahead until then.
	const world = await createWorld(1_000_000);
	const [gateway] = world.gateways;
	for (let index = 0; index < 8; index += 1) {
		await gateway!.keeper.acquire(customer, 1000, {patience: 300});
	}

	await gateway!.keeper.renew();
	expect(gateway!.account.countFree(customer)).toBeGreaterThan(1000);
});

// Guards against a claim for each request of a large fleet, most of which collide.
test('requests at gateways that are not the home bring few claims', async () => {
	const world = await createWorld(10_000_000, 'first');
	const writers = new Set<string>();
	for (let round = 0; round < 20; round += 1) {
		for (const gateway of world.gateways.slice(1)) {
			const reservation = await gateway.keeper.acquire(customer, 1000, {patience: 300});
			expect(reservation.ok).toBe(true);
		}
	}

	for (const {key} of world.log.records.slice(world.first)) {
		writers.add(key.split('/')[0]!);
	}

	expect([...writers]).toEqual(['e0']);
	expect(world.log.records.length - world.first).toBeLessThan(20);
});

// Guards against refusals while the gateway that claims for all is gone and not yet known to be.
test('a gateway whose home is silent gets tokens from the next one', async () => {
	const world = await createWorld(100_000, 'first');
	world.silent.add('e0');
	const reservation = await world.gateways[2]!.keeper.acquire(customer, 1000, {patience: 300});
	expect(reservation.ok).toBe(true);
	expect(world.gateways[1]!.account.get(customer).lent).toBeGreaterThanOrEqual(1000);
});

test('a gateway that reaches none of the others claims for itself', async () => {
	const world = await createWorld(100_000, 'first');
	world.silent.add('e0');
	world.silent.add('e1');
	const reservation = await world.gateways[2]!.keeper.acquire(customer, 1000, {patience: 300});
	expect(reservation.ok).toBe(true);
	expect(world.gateways[2]!.account.get(customer).granted).toBeGreaterThanOrEqual(1000);
});

// Guards against tokens that stay scattered over the fleet when a budget ends: callers would be refused though they were bought.
test('what is free elsewhere is found at the end of a budget', async () => {
	const world = await createWorld(3000, 'first');
	const held = await world.gateways[1]!.keeper.acquire(customer, 2000, {patience: 300});
	world.gateways[1]!.keeper.settle(held.unwrap(), 100);
	const reservation = await world.gateways[2]!.keeper.acquire(customer, 2500, {patience: 300});
	expect(reservation.ok).toBe(true);
});

// Guards against the rest of a budget that lies at gateways whose large requests were refused, while smaller ones elsewhere
// are refused too.
test('a request that the rest does not cover leaves it to smaller ones', async () => {
	const world = await createWorld(3000, 'first');
	const refused = await world.gateways[1]!.keeper.acquire(customer, 5000, {patience: 300});
	expect(refused.ok).toBe(false);
	expect(world.gateways[1]!.account.countFree(customer)).toBe(0);
	const small = await world.gateways[2]!.keeper.acquire(customer, 2500, {patience: 300});
	expect(small.ok).toBe(true);
});
