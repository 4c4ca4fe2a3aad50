import {type ModelId} from '@valehitch/core';
import test from 'ava';
import {testRoute} from '../configuration/_test-configuration.js';
import {testServer} from '../servers/_test-server.js';
import {control, listen, sendRequests} from './_test-run.js';
import {InstanceStop} from './instance-stop.js';

const clock = {monotonic: () => performance.now()};
const requestMilliseconds = 30_000;

test('the answer of a smaller model is forwarded if the instance stops before the better one', async t => {
	const stop = new InstanceStop(clock);
	t.teardown(() => {
		stop.close();
	});
	const port = await listen(t, (message, response) => {
		if (message.headers.model === 'small') {
			response.writeHead(200, {Confidence: '5'});
			response.end('id: 1\ndata: small\n\n');
		} else {
			// The larger model never answers.
			stop.begin(clock.monotonic() + 400);
		}
	});
	const {answers} = await sendRequests(t, 1, {
		route: testRoute({
			kind: 'streaming', isResumable: true, sizes: ['small', 'large'] as ModelId[], timeout: requestMilliseconds, targetLatency: 2000, maximumAttempts: 3,
		}),
		timeout: requestMilliseconds,
		nextServers(known) {
			known.applyRecords([testServer({port})], {source: control, now: performance.now()});
		},
		prepare(context) {
			Object.assign(context, {stop});
		},
	});
	t.deepEqual(answers.map(({status, text}) => [status, text]), [[200, 'id: 1\ndata: small\n\n']]);
});
