import {once} from 'node:events';
import {type ServerResponse} from 'node:http';
import test from 'ava';
import {open} from './_test-open-responses.js';
import {whenCallerLeaves} from './when-caller-leaves.js';

async function left(response: ServerResponse): Promise<void> {
	return new Promise(resolve => {
		whenCallerLeaves(response, resolve);
	});
}

test('a caller has left once the end of its connection was read, before the response is closed', async t => {
	const {responses: [response], caller} = await open(t, 1);
	const leaving = left(response!);
	caller.destroy();
	await leaving;
	t.false(response!.closed);
	await left(response!);
	await once(response!, 'close');
	await left(response!);
});

test('the caller of a response that waits behind another one leaves with its connection', async t => {
	const {responses: [, second], caller} = await open(t, 2);
	const leaving = left(second!);
	caller.resetAndDestroy();
	await leaving;
	await left(second!);
	t.false(second!.closed);
});

test('a caller that has its answer does not count as one that has left, and no listeners stay on its connection', async t => {
	const {responses: [response]} = await open(t, 1);
	const {socket} = response!.req;
	const count = (): number => socket.listenerCount('end') + socket.listenerCount('close');
	const listeners = count();
	let hasLeft = false;
	whenCallerLeaves(response!, () => {
		hasLeft = true;
	});
	const stop = whenCallerLeaves(response!, () => {
		hasLeft = true;
	});
	t.is(count(), listeners + 4);
	stop();
	t.is(count(), listeners + 2);
	response!.end('done');
	await once(response!, 'close');
	t.true(count() <= listeners);
	socket.destroy();
	await once(socket, 'close');
	t.false(hasLeft);
});
