import {once} from 'node:events';
import {type ServerResponse} from 'node:http';
import {connect} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {HeldMemory} from '@valehitch/routing';
import {ignore, listen} from './_test-run.js';
import {AnswerBuffer} from './answer-buffer.js';

const head = 'GET / HTTP/1.1\r\nHost: desk.example\r\n\r\n';
const part = 'x'.repeat(100_000);

/** Opens a connection with two requests, and returns the response to the second one, which waits behind the first. */
async function openSecond(t: ExecutionContext) {
	const responses: ServerResponse[] = [];
	const caller = connect(await listen(t, (_message, response) => {
		responses.push(response);
		if (responses.length === 2) {
			caller.emit('second');
		}
	}), '127.0.0.1');
	caller.write(head + head);
	await once(caller, 'second');
	return {response: responses[1]!, caller};
}

test('an answer that waits behind another one is no longer counted once the connection has closed', async t => {
	const {response, caller} = await openSecond(t);
	const memory = new HeldMemory({totalBytes: 1_000_000});
	const buffer = new AnswerBuffer({response, memory, onFull: ignore});
	response.write(part);
	buffer.recordUnread();
	t.true(memory.held >= part.length);
	const closed = once(response.req.socket, 'close');
	caller.destroy();
	await closed;
	t.is(memory.held, 0);
	// The request goes on until its deadline.
	response.write(part);
	buffer.recordUnread();
	t.is(memory.held, 0);
});
