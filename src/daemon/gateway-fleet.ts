/**
 * The other daemons of a gateway's fleet, as recorded in the log of grants.
 *
 * @module
 */
import type {GossipPeer, HolderIdentity} from '../coordination/mod.js';
import {isDaemonAddress} from '../protocol/mod.js';
import type {GrantRegistry, HolderRecord} from '../state/mod.js';

/** Options of {@linkcode createGatewayFleet}. */
export type CreateGatewayFleetOptions = {
	readonly self: HolderIdentity;
	readonly grantRegistry: GrantRegistry;
	/** Addresses of the gateways to contact first. */
	readonly seeds: readonly string[];
	/** Returns true once the log of grants has been read. */
	readonly hasReadGrants: () => boolean;
};

/** The other daemons of a gateway's fleet. */
export type GatewayFleet = ReturnType<typeof createGatewayFleet>;

/**
 * Creates the view of the fleet.
 *
 * @example
 * ```ts
 * const fleet = createGatewayFleet({self, grantRegistry, seeds: [], hasReadGrants: () => true});
 * fleet.listPeers();
 * ```
 *
 * @param options This gateway and the recorded daemons
 * @returns The view
 */
export function createGatewayFleet({self, grantRegistry, seeds, hasReadGrants}: CreateGatewayFleetOptions) {
	return {
		/**
		 * Lists the addresses of daemons that may relay calls to the store. Relay
		 * daemons, which run next to upstreams, come before gateways: a partition that
		 * separates this gateway from the store often separates the other gateways from
		 * it as well.
		 */
		listRelays(): string[] {
			const rank = (holder: HolderRecord) => (holder.role === 'relay' ? 0 : 2) + (holder.failureDomain === self.failureDomain ? 0 : 1);
			const holders = grantRegistry.listRunning().filter(({daemon}) => daemon !== self.daemon).sort((left, right) => rank(left) - rank(right));
			return [...holders.map(({address}) => address), ...seeds.filter(address => address !== self.address)].filter(address => isDaemonAddress(address));
		},

		/** Lists the other gateways. */
		listPeers: (): GossipPeer[] => grantRegistry.listRunning()
			.flatMap(({role, daemon, address, newsAddress, failureDomain}) => role === 'gateway' && daemon !== self.daemon && newsAddress !== undefined && isDaemonAddress(address) && isDaemonAddress(newsAddress)
				? [{
					daemon, address, newsAddress, failureDomain,
				}]
				: []),

		/**
		 * Lists the names of all gateways, including this one; undefined before the log
		 * has been read. Those that do not respond are included.
		 */
		listGateways: (): string[] | undefined => hasReadGrants()
			? [...new Set([self.daemon, ...grantRegistry.listRunning().filter(({role}) => role === 'gateway').map(({daemon}) => daemon)])]
			: undefined,

		/** Returns the failure domain of the daemon at an address; undefined if none is recorded there. */
		findFailureDomain: (address: string): string | undefined => grantRegistry.listRunning().find(holder => holder.address === address)?.failureDomain,
	};
}
