import {type ServerResponse} from 'node:http';
import {type ServerId} from '@valehitch/core';
import {type ExecutionContext} from 'ava';
import {testRoute} from '../configuration/_test-configuration.js';
import {testServer} from '../servers/_test-server.js';
import {
	control, listen, sendRequests, type SendRequestsOptions,
} from './_test-run.js';

/** A route whose streams stall soon, and that allows four sends. */
export const stallingRoute = testRoute({
	kind: 'streaming', isResumable: true, timeout: 20_000, targetLatency: 150, targetGap: 100, maximumAttempts: 4,
});

/** Answers one send. */
export type SendAnswer = (response: ServerResponse) => void | Promise<void>;

/** Options of {@linkcode sendInOrder}. */
export type SendInOrderOptions = Partial<SendRequestsOptions> & {
	/** Two by default. */
	readonly serverCount?: number;
};

/**
Sends one request to servers that answer its sends in the given order, whichever of them is asked.

@param t The test.
@param answers Answer the sends.
@param options The servers and the request.
@returns The answer and the evidence, and the number of sends.
*/
export async function sendInOrder(t: ExecutionContext, answers: readonly SendAnswer[], {serverCount = 2, ...options}: SendInOrderOptions = {}) {
	let sends = 0;
	const handle = (_message: unknown, response: ServerResponse): void => {
		void answers[sends]?.(response);
		sends++;
	};

	const ports = await Promise.all(Array.from({length: serverCount}, async () => listen(t, handle)));
	const sent = await sendRequests(t, 1, {
		route: stallingRoute,
		timeout: 20_000,
		nextServers(known) {
			known.applyRecords(ports.map((port, index) => testServer({id: `server-${index}` as ServerId, port})), {source: control, now: performance.now()});
		},
		...options,
	});
	return {...sent, sends};
}
