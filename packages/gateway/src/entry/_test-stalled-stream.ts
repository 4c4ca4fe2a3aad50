import {IncomingMessage} from 'node:http';
import {Socket} from 'node:net';
import {type ExecutionContext} from 'ava';
import {testServer} from '../servers/_test-server.js';
import {type StalledStream} from './stalled-answer.js';

/** Creates a stream that has stalled; what is pushed to its message arrives from its server. */
export function stalledStream(t: ExecutionContext): {readonly stream: StalledStream; readonly message: IncomingMessage} {
	const message = new IncomingMessage(new Socket());
	message.on('error', () => {
		// The stream ends with its connection.
	});
	t.teardown(() => {
		message.destroy();
	});
	const head = {
		status: 200, requestId: 'a1', isNotRun: false, isFromOtherServer: false, isSigned: true, isEncoded: false, confidence: undefined, isDraining: false,
		brittleness: {type: 'none'}, rateLimit: {type: 'unlimited'}, pause: {type: 'none'},
	} as const;
	return {
		message,
		stream: {
			send: 1, server: testServer(), model: undefined, received: {message, framing: 'chunks', isComplete: async () => true}, head, latency: 10, incomplete: new Uint8Array(),
		},
	};
}
