import {expect, test} from 'vitest';
import {createGrantRegistry, type HolderRecord} from '../state/mod.js';
import {createGatewayFleet} from './gateway-fleet.js';

const self = {
	role: 'gateway', daemon: 'g0', incarnation: 'i', address: '10.0.0.1:1', newsAddress: '10.0.0.1:1', failureDomain: 'd',
} as const;

function buildHolder(daemon: string, address: string, newsAddress = address): HolderRecord {
	return {
		role: 'gateway', daemon, incarnation: 'i', address, newsAddress, failureDomain: 'd', version: 1, sequence: 1, granted: {}, hasEnded: false,
	};
}

test('a holder whose addresses are no addresses gets no calls and no gossip', () => {
	// Guards against a process that ends because of an address in another writer's record.
	const grantRegistry = createGrantRegistry();
	grantRegistry.put('g1/i', buildHolder('g1', '10.0.0.2:7'));
	grantRegistry.put('g2/i', buildHolder('g2', 'nowhere'));
	grantRegistry.put('g3/i', buildHolder('g3', '10.0.0.3:7', '10.0.0.3:99999'));
	const fleet = createGatewayFleet({
		self, grantRegistry, seeds: ['10.0.0.4:7', 'h:port', ''], hasReadGrants: () => true,
	});
	expect(fleet.listPeers().map(({daemon}) => daemon)).toEqual(['g1']);
	expect(fleet.listRelays()).toEqual(['10.0.0.2:7', '10.0.0.3:7', '10.0.0.4:7']);
	expect(fleet.listGateways()).toEqual(['g0', 'g1', 'g2', 'g3']);
});
