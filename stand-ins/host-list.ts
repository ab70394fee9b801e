/**
 * Stand-in of the platform's host list; what is set becomes visible late.
 *
 * @module
 */
import {readDocument, serveStandIn} from './serve.js';

let lag = 1000;
let hosts: unknown[] = [];

await serveStandIn('host-list', async (request, _response, url) => {
	if (url.pathname === '/control') {
		const body = await readDocument(request) as {hosts: unknown[]; lag?: number};
		lag = body.lag ?? lag;
		setTimeout(() => {
			hosts = body.hosts;
		}, lag);
		return {lag};
	}

	return {hosts};
});
