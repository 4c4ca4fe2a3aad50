import test, {type ExecutionContext} from 'ava';
import {testRoute} from '../configuration/_test-configuration.js';
import {type Route} from '../configuration/routing-configuration.js';
import {testServer} from '../servers/_test-server.js';
import {startTestEntry} from './_test-entry-instance.js';
import {RawCaller} from './_test-raw-caller.js';
import {testRequest} from './_test-request.js';
import {listen, plainDialect} from './_test-run.js';

const event = 'id: 1\ndata: a\n\n';
const answerMilliseconds = 10_000;
const brokenTarget = '/labels/broken';

async function startServer(t: ExecutionContext): Promise<number> {
	return listen(t, ({url}, response) => {
		response.writeHead(200, {'Content-Type': 'text/event-stream', broken: String(url === brokenTarget)});
		response.end(event);
	});
}

async function send(port: number, target: string): Promise<number> {
	const caller = new RawCaller(port);
	await caller.connected();
	await caller.send([{id: 'a1', method: 'GET', target}]);
	const [answer] = await caller.answers(answerMilliseconds);
	caller.close();
	return answer?.status ?? 0;
}

for (const kind of ['safe', 'streaming'] satisfies Array<Route['kind']>) {
	test(`a ${kind} answer whose head cannot be written ends neither the process nor other requests`, async t => {
		const internal: unknown[] = [];
		const {port} = await startTestEntry(t, {
			records: [testServer({port: await startServer(t)})],
			routes: [testRoute({
				kind, timeout: answerMilliseconds, targetLatency: 1000, isPublic: true,
			})],
			dialect: {
				...plainDialect,
				readRequest: ({url = '/', method = 'GET'}) => testRequest({
					method, path: url, target: url, host: 'desk.example', timeout: answerMilliseconds,
				}),
				answerHeaders: ({headers}) => [[headers.broken === 'true' ? 'X Y' : 'X', '1']],
			},
			log(_event, {outcome, reason}) {
				if (outcome === 'internal') {
					internal.push(reason);
				}
			},
		});
		t.deepEqual(await Promise.all(['/labels/a', brokenTarget, '/labels/b'].map(async target => send(port, target))), [200, 500, 200]);
		t.is(await send(port, '/labels/c'), 200);
		t.is(internal.length, 1);
	});
}
