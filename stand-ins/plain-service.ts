/**
 * Stand-in for a plain service that executes bookings, which must not be
 * repeated. It does not deduplicate and records every execution, so that a proof
 * can count duplicates.
 *
 * @module
 */
import {setTimeout as wait} from 'node:timers/promises';
import {readDocument, serveStandIn} from './serve.js';

const control = {
	/** Duration of a call, in milliseconds. */
	duration: 5,
	/** Number of calls whose response will be lost after the execution. */
	loseAnswers: 0,
};
const executions: Array<{service: string; booking: string; at: number}> = [];

await serveStandIn('plain-service', async (request, response, url) => {
	if (url.pathname === '/control') {
		return Object.assign(control, await readDocument(request));
	}

	if (url.pathname === '/executions') {
		return {executions};
	}

	if (url.pathname === '/healthz') {
		return {alive: true};
	}

	const body = await readDocument(request);
	executions.push({service: url.pathname.split('/').at(-1) ?? '', booking: String(body.booking), at: Date.now()});
	await wait(control.duration);
	if (control.loseAnswers > 0) {
		control.loseAnswers -= 1;
		response.destroy();
		return undefined;
	}

	return {booked: body.booking, number: executions.length};
});
