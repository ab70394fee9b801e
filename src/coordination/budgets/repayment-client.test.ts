import {expect, test} from 'vitest';
import {Gateway} from '../../protocol/mod.js';
import {createFleetClient, startFleetServer} from '../../transport/mod.js';
import {createRepaymentClient} from './repayment-client.js';

const repayment = {
	from: 'e1', fromIncarnation: 'i1', sequence: 1, toIncarnation: 'i2', amounts: [{customer: 'c', tokens: 100}],
};

async function sendTo(routes: Parameters<typeof startFleetServer>[1]['routes']): Promise<boolean> {
	const server = await startFleetServer({host: '127.0.0.1', port: 0}, {fleetKey: 'k', routes, onUnauthenticated: () => undefined});
	const fleet = createFleetClient('k');
	try {
		return await createRepaymentClient({fleet, timeoutMs: 2000})(server.address, repayment);
	} finally {
		fleet.close();
		await server.close();
	}
}

test('a gateway of an earlier version has not accepted a repayment', async () => {
	// Guards against losing the tokens of each repayment while a fleet is upgraded gateway by gateway.
	expect(await sendTo(() => undefined)).toBe(false);
	expect(await sendTo(router => {
		router.service(Gateway, {});
	})).toBe(false);
});

test('the receiver says whether it has accepted a repayment', async () => {
	for (const isAccepted of [true, false]) {
		expect(await sendTo(router => {
			router.service(Gateway, {returnLoans: () => ({isAccepted})});
		})).toBe(isAccepted);
	}
});

test('a repayment that is not answered is neither accepted nor refused', async () => {
	// Guards against taking back tokens that the receiver may have accepted.
	await expect(sendTo(router => {
		router.service(Gateway, {
			returnLoans() {
				throw new Error('The gateway fails');
			},
		});
	})).rejects.toThrow();
});
