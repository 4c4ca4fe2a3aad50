import {once} from 'node:events';
import {Agent, type IncomingMessage, request as openRequest} from 'node:http';
import {setTimeout} from 'node:timers/promises';
import test from 'ava';
import {ignore, listen} from './_test-run.js';
import {EventStream} from './event-stream.js';
import {relayStream} from './relay-stream.js';

// The check read the connection of an answer that had been detached from it, and the exception ended the process.
test('a stream that has ended on a kept connection is not watched while its completeness is checked', async t => {
	const port = await listen(t, (_message, response) => {
		response.end('data: found\n\n');
	});
	const agent = new Agent({keepAlive: true});
	t.teardown(() => {
		agent.destroy();
	});
	const entry = await listen(t, (_message, response) => {
		const relay = async (): Promise<void> => {
			const outgoing = openRequest({host: '127.0.0.1', port, agent}).end();
			const [message] = await once(outgoing, 'response') as [IncomingMessage];
			const end = await relayStream({
				message,
				async isComplete() {
					await setTimeout(600);
					return true;
				},
				response,
				events: new EventStream(),
				stallTimeout: 0,
				isStalled: () => false,
				onData: ignore,
				onFirstEvent: ignore,
			});
			response.end(end);
		};

		void relay();
	});
	const answer = await fetch(`http://127.0.0.1:${entry}/`);
	t.is(await answer.text(), 'data: found\n\ncomplete');
});
