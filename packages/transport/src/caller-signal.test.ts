import {once} from 'node:events';
import test from 'ava';
import {open} from './_test-open-responses.js';
import {callerSignal} from './caller-signal.js';

test('the signal is aborted if the caller leaves without an answer', async t => {
	const {responses: [response], caller} = await open(t, 1);
	const signal = callerSignal(response!);
	t.false(signal.aborted);
	caller.destroy();
	await once(response!, 'close');
	t.true(signal.aborted);
});

test('the signal is not aborted by the answer', async t => {
	const {responses: [response]} = await open(t, 1);
	const signal = callerSignal(response!);
	response!.end('done');
	await once(response!, 'close');
	t.false(signal.aborted);
});

test('the signal is aborted once the end of the connection was read, before the response is closed', async t => {
	const {responses: [response], caller} = await open(t, 1);
	const signal = callerSignal(response!);
	caller.destroy();
	await once(signal, 'abort');
	t.false(response!.closed);
});
