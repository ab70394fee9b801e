/**
 * Waiting for an answer to be on its way to its caller.
 *
 * @module
 */
import type {ServerResponse} from 'node:http';

/**
 * Waits until the system has taken an answer's last byte, or its connection
 * has ended.
 *
 * Guards against an answer that is torn when its process ends: to `end` a
 * response only puts the bytes into the process's own buffers, where they wait
 * for a caller that reads slowly. The response closes once they are out.
 *
 * @example
 * ```ts
 * response.end(body);
 * await waitUntilDelivered(response);
 * ```
 *
 * @param response The answer
 */
export async function waitUntilDelivered(response: ServerResponse): Promise<void> {
	if (response.closed) {
		return;
	}

	await new Promise<void>(resolve => {
		response.once('close', resolve);
	});
}
