/**
 * What a gateway answers operators of requests that it holds back.
 *
 * @module
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type restana from 'restana';
import type {Quarantine} from '../coordination/mod.js';
import {createFailure, isSameSecret, type EventLog} from '../protocol/mod.js';
import {sendFailure, sendJson} from '../transport/mod.js';

/** Options of {@linkcode addQuarantineRoutes}. */
export type AddQuarantineRoutesOptions = {
	/** Empty lets everybody in. */
	readonly operatorKey: string;
	readonly quarantine: Pick<Quarantine, 'listHeld' | 'release'>;
	readonly events: EventLog;
};

const path = '/v1/quarantine';
const bearer = 'Bearer ';

/**
 * Adds the routes: `GET /v1/quarantine` lists what is held back, and
 * `POST /v1/quarantine/DIGEST` lets one go, at all gateways.
 *
 * @example
 * ```ts
 * await startHttpServer(address, service => {
 * 	addQuarantineRoutes(service, {operatorKey, quarantine, events});
 * });
 * ```
 *
 * @param service The server's routes
 * @param options The key, and what holds requests back
 */
export function addQuarantineRoutes(service: restana.Service<restana.Protocol.HTTP>, options: AddQuarantineRoutesOptions): void {
	const {operatorKey, quarantine, events} = options;

	function checkKey(request: IncomingMessage, response: ServerResponse): boolean {
		const given = request.headers.authorization ?? '';
		if (operatorKey === '' || (given.startsWith(bearer) && isSameSecret(given.slice(bearer.length), operatorKey))) {
			return true;
		}

		events.write('operatorRefused');
		sendFailure(response, createFailure('unknown-key', 'The operator key is missing or wrong'));
		return false;
	}

	service.get(path, (request, response) => {
		if (checkKey(request, response)) {
			sendJson(response, {held: quarantine.listHeld()});
		}
	});
	service.post(`${path}/:digest`, (request, response) => {
		if (!checkKey(request, response)) {
			return;
		}

		const {digest} = request.params as {digest: string};
		if (quarantine.release(digest)) {
			sendJson(response, {released: digest});
		} else {
			sendFailure(response, createFailure('unknown-object', `Nothing is known against request "${digest}"`));
		}
	});
}
