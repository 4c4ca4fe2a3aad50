import {once} from 'node:events';
import {type IncomingMessage, request as openRequest} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {testRoute} from '../configuration/_test-configuration.js';
import {testServer} from '../servers/_test-server.js';
import {startTestEntry} from './_test-entry-instance.js';
import {listen} from './_test-run.js';

const timeoutMilliseconds = 200;

for (const kind of ['safe', 'unsafe', 'streaming'] as const) {
	test(`a ${kind} request whose body is complete only after its deadline is refused and not sent`, async t => {
		let sends = 0;
		const serverPort = await listen(t, (_message, response) => {
			sends++;
			response.end();
		});
		const {port} = await startTestEntry(t, {
			records: [testServer({port: serverPort})],
			routes: [testRoute({kind, isPublic: true, timeout: timeoutMilliseconds})],
		});
		const outgoing = openRequest({
			host: '127.0.0.1', port, method: 'POST', agent: false,
		});
		outgoing.write('first half');
		await delay(3 * timeoutMilliseconds);
		outgoing.end('second half');
		const [message] = await once(outgoing, 'response') as [IncomingMessage];
		message.resume();
		t.is(message.statusCode, 503);
		t.is(sends, 0);
	});
}
