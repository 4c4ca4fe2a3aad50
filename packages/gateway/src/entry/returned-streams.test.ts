import {type ServerResponse} from 'node:http';
import {type ServerId} from '@valehitch/core';
import test, {type ExecutionContext} from 'ava';
import {testRoute} from '../configuration/_test-configuration.js';
import {testServer} from '../servers/_test-server.js';
import {control, listen, sendRequests} from './_test-run.js';

const route = testRoute({
	kind: 'streaming', isResumable: true, timeout: 20_000, targetLatency: 150, targetGap: 100, maximumAttempts: 4,
});
const pauseMilliseconds = 400;

/** Starts two servers that answer the sends of one request in the given order, whichever of the two is asked. */
async function send(t: ExecutionContext, answers: ReadonlyArray<(response: ServerResponse) => void>) {
	let sends = 0;
	const handle = (_message: unknown, response: ServerResponse): void => {
		answers[sends]?.(response);
		sends++;
	};

	const ports = await Promise.all([listen(t, handle), listen(t, handle)]);
	return sendRequests(t, 1, {
		route,
		timeout: 20_000,
		nextServers(known) {
			known.applyRecords(ports.map((port, index) => testServer({id: `server-${index}` as ServerId, port})), {source: control, now: performance.now()});
		},
	});
}

test('a stream that breaks after it has returned to its server continues at the server whose send was cancelled', async t => {
	const {answers} = await send(t, [
		response => {
			response.write('id: 1\ndata: one\n\n');
			setTimeout(() => {
				response.write('id: 2\ndata: two\n\n', () => {
					setTimeout(() => {
						response.destroy();
					}, 20);
				});
			}, pauseMilliseconds);
		},
		() => {
			// Its send is cancelled before it answers.
		},
		response => {
			response.end('id: 3\ndata: three\n\n');
		},
	]);
	t.deepEqual(answers, [{status: 200, text: 'id: 1\ndata: one\n\nid: 2\ndata: two\n\nid: 3\ndata: three\n\n'}]);
});
