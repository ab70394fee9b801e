/**
 * Serves operators' calls about quarantined requests and parts of prompts.
 *
 * @module
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type restana from 'restana';
import type {PartQuarantine, Quarantine} from '../coordination/mod.js';
import {createFailure, isSameSecret, type EventLog} from '../protocol/mod.js';
import {sendFailure, sendJson} from '../transport/mod.js';

/** Options of {@linkcode addQuarantineRoutes}. */
export type AddQuarantineRoutesOptions = {
	/** Key that operators must send; if empty, no key is required. */
	readonly operatorKey: string;
	readonly quarantine: Pick<Quarantine, 'listHeld' | 'release'>;
	readonly partQuarantine: Pick<PartQuarantine, 'listHeld' | 'release'>;
	readonly events: EventLog;
};

const quarantinePath = '/v1/quarantine';
const bearer = 'Bearer ';

/**
 * Adds the quarantine routes: `GET /v1/quarantine` lists the quarantined
 * requests and parts of prompts, and `POST /v1/quarantine/DIGEST` releases one
 * at all gateways.
 *
 * @example
 * ```ts
 * await startHttpServer(address, service => {
 * 	addQuarantineRoutes(service, {operatorKey, quarantine, partQuarantine, events});
 * });
 * ```
 *
 * @param service The server to which the routes are added
 * @param options The operator key and the quarantines
 */
export function addQuarantineRoutes(service: restana.Service<restana.Protocol.HTTP>, options: AddQuarantineRoutesOptions): void {
	const {
		operatorKey, quarantine, partQuarantine, events,
	} = options;

	function checkOperatorKey(request: IncomingMessage, response: ServerResponse): boolean {
		const authorization = request.headers.authorization ?? '';
		if (operatorKey === '' || (authorization.startsWith(bearer) && isSameSecret(authorization.slice(bearer.length), operatorKey))) {
			return true;
		}

		events.write('operatorRefused');
		sendFailure(response, createFailure('unknown-key', 'The operator key is missing or wrong'));
		return false;
	}

	service.get(quarantinePath, (request, response) => {
		if (checkOperatorKey(request, response)) {
			sendJson(response, {held: quarantine.listHeld(), heldParts: partQuarantine.listHeld()});
		}
	});
	service.post(`${quarantinePath}/:digest`, (request, response) => {
		if (!checkOperatorKey(request, response)) {
			return;
		}

		const {digest} = request.params as {digest: string};
		if (quarantine.release(digest) || partQuarantine.release(digest)) {
			sendJson(response, {released: digest});
		} else {
			sendFailure(response, createFailure('unknown-object', `No crashes are recorded for a request or part with digest "${digest}"`));
		}
	});
}
