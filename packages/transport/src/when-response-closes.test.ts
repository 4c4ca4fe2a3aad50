import {type ServerResponse} from 'node:http';
import test from 'ava';
import {open} from './_test-open-responses.js';
import {whenResponseCloses} from './when-response-closes.js';

async function closed(response: ServerResponse): Promise<void> {
	return new Promise(resolve => {
		whenResponseCloses(response, resolve);
	});
}

test('a response closes when it is sent, and leaves no listeners on its connection', async t => {
	const {responses: [response]} = await open(t, 1);
	const {socket} = response!.req;
	const listeners = socket.listeners('close');
	const ended = closed(response!);
	t.is(socket.listenerCount('close'), listeners.length + 1);
	response!.end('done');
	await ended;
	t.true(socket.listeners('close').every(listener => listeners.includes(listener)));
	await closed(response!);
	t.true(response!.writableFinished);
});

test('a response that waits behind another one closes with its connection', async t => {
	const {responses: [, second], caller} = await open(t, 2);
	second!.write('a part');
	const ended = closed(second!);
	caller.destroy();
	await ended;
	await closed(second!);
	t.false(second!.closed);
});
