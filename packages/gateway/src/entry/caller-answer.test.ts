import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {type IncomingMessage, request as openRequest} from 'node:http';
import {HeldMemory} from '@valehitch/routing';
import test, {type ExecutionContext} from 'ava';
import {createGatewayMetrics} from '../logs/gateway-metrics.js';
import {testRequest} from './_test-request.js';
import {listen, plainDialect} from './_test-run.js';
import {CallerAnswer, type CompleteAnswer} from './caller-answer.js';

/** Forwards an answer to a request, and returns the length that its caller is told. */
async function lengthFor(t: ExecutionContext, method: string, answer: CompleteAnswer): Promise<string | undefined> {
	const port = await listen(t, (_message, response) => {
		const writer = new CallerAnswer({
			clock: {now: () => new Date(), monotonic: () => 0}, metrics: createGatewayMetrics(), memory: new HeldMemory(), dialect: plainDialect, stop: {closesConnection: () => false},
		}, {
			request: testRequest({method}), response, kind: 'safe', arrivedAt: 0,
		});
		writer.forward(answer);
	});
	const outgoing = openRequest({
		host: '127.0.0.1', port, method, agent: false,
	}).end();
	const [message] = await once(outgoing, 'response') as [IncomingMessage];
	message.resume();
	await once(message, 'end');
	return message.headers['content-length'];
}

const empty = {status: 200, headers: [], body: Buffer.alloc(0)};

test('an answer states the length of its body', async t => {
	t.is(await lengthFor(t, 'GET', {...empty, body: Buffer.from('done')}), '4');
	t.is(await lengthFor(t, 'GET', {...empty, statedLength: '0'}), '0');
});

test('an answer to HEAD does not state that the body of GET is empty', async t => {
	t.is(await lengthFor(t, 'HEAD', {...empty, statedLength: '7'}), '7');
	t.is(await lengthFor(t, 'HEAD', empty), undefined);
});

test('an answer whose status allows no body states no length of its own', async t => {
	t.is(await lengthFor(t, 'GET', {...empty, status: 204}), undefined);
	t.is(await lengthFor(t, 'GET', {...empty, status: 304, statedLength: '7'}), '7');
});
