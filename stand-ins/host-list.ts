/**
 * Stand-in for the platform's host list. Changes become visible after a delay.
 *
 * @module
 */
import {readDocument, serveStandIn} from './serve.js';

let lagMs = 1000;
let hosts: unknown[] = [];

await serveStandIn('host-list', async (request, _response, url) => {
	if (url.pathname === '/control') {
		const body = await readDocument(request) as {hosts: unknown[]; lag?: number};
		lagMs = body.lag ?? lagMs;
		setTimeout(() => {
			hosts = body.hosts;
		}, lagMs);
		return {lag: lagMs};
	}

	return {hosts};
});
