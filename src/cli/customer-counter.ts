/**
 * Counts how often each customer's requests are served, and at how many
 * gateways they arrive.
 *
 * @module
 */
import {servedOutcome} from './request-counter.js';

/** Outcomes of one customer's requests; a caller that tries again counts again. */
export type CustomerOutcomes = {
	readonly customer: string;
	readonly requests: number;
	readonly served: number;
	/** Share of the customer's requests that was served, relative to the share of all customers' requests; 1 if it is served as often as all. */
	readonly relativeShare: number;
	readonly gateways: number;
	/** Largest share of the customer's requests that arrived at one gateway. */
	readonly largestGatewayShare: number;
};

type CustomerCounts = {served: number; readonly requestsByGateway: Map<string, number>};

/** @internal */
function sumValues(values: Iterable<number>): number {
	return [...values].reduce((sum, value) => sum + value, 0);
}

/**
 * Creates an empty counter.
 *
 * @example
 * ```ts
 * const customers = createCustomerCounter();
 * customers.record({customer: 'city', gateway: 'front-1', outcome: 'served'});
 * customers.list()[0]?.relativeShare; // 1
 * ```
 *
 * @returns The counter
 */
export function createCustomerCounter() {
	const countsByCustomer = new Map<string, CustomerCounts>();

	return {
		record({customer, gateway, outcome}: {readonly customer: string; readonly gateway: string; readonly outcome: string}): void {
			const counts = countsByCustomer.get(customer) ?? {served: 0, requestsByGateway: new Map<string, number>()};
			counts.served += outcome === servedOutcome ? 1 : 0;
			counts.requestsByGateway.set(gateway, (counts.requestsByGateway.get(gateway) ?? 0) + 1);
			countsByCustomer.set(customer, counts);
		},

		/** Lists the customers, those that are served least often first. */
		list(): CustomerOutcomes[] {
			const all = [...countsByCustomer.values()];
			const allServedShare = sumValues(all.map(({served}) => served)) / sumValues(all.flatMap(({requestsByGateway}) => [...requestsByGateway.values()]));
			return [...countsByCustomer].map(([customer, {served, requestsByGateway}]) => {
				const requests = sumValues(requestsByGateway.values());
				return {
					customer, requests, served,
					relativeShare: allServedShare > 0 ? served / requests / allServedShare : 1,
					gateways: requestsByGateway.size,
					largestGatewayShare: Math.max(...requestsByGateway.values()) / requests,
				};
			}).sort((left, right) => left.relativeShare - right.relativeShare);
		},
	};
}
