import test from 'ava';
import {startFakeService} from './fake-service.js';
import {sendRequest} from './send-request.js';

test('echoes calls and counts the runs of a key', async t => {
	const service = await startFakeService();
	t.teardown(service.kill);
	const print = async () => sendRequest(`${service.address}/print`, {method: 'POST', body: '{"label":7}', headers: {'Idempotency-Key': 'print-7'}});
	const {body} = await print();
	t.deepEqual(JSON.parse(body), {
		method: 'POST', path: '/print', body: '{"label":7}', run: 1,
	});
	await print();
	t.is(service.countRuns('print-7'), 2);
	t.is(service.countRuns('print-8'), 0);
});

test('refuses without running, fails after running, and closes the connection', async t => {
	const service = await startFakeService({behaviour: {refuseNotRun: true}});
	t.teardown(service.kill);
	const refused = await sendRequest(`${service.address}/print`, {method: 'POST'});
	t.is(refused.headers['valehitch-outcome'], 'notRun');
	t.is(service.runs.length, 0);
	Object.assign(service.behaviour, {refuseNotRun: false, failStatus: 502});
	const failed = await sendRequest(`${service.address}/print`, {method: 'POST'});
	t.is(failed.status, 502);
	service.behaviour.cutAfterTokens = 0;
	await t.throwsAsync(sendRequest(`${service.address}/print`, {method: 'POST'}));
	t.deepEqual(service.runs.map(run => [run.completed, run.cancelled]), [[false, false], [false, false]]);
});
