import {connect} from 'node:net';
import {type Failure} from '@valehitch/core';
import {type Either} from 'purify-ts';
import test, {type ExecutionContext} from 'ava';
import {HeldMemory} from '@valehitch/routing';
import {listen} from './_test-run.js';
import {readCallerBody} from './read-caller-body.js';

const maximumBytes = 1000;

/** Reads the body of one request that is sent as it is; the connection is left open. */
async function read(t: ExecutionContext, text: string, memory: HeldMemory): Promise<Either<Failure, Uint8Array>> {
	const held = memory.open();
	return new Promise((resolve, reject) => {
		listen(t, (message, response) => {
			void readCallerBody(message, {memory, held, maximumBytes}).then(body => {
				response.end();
				resolve(body);
			});
		}).then(port => {
			const socket = connect(port, '127.0.0.1');
			socket.write(`POST / HTTP/1.1\r\nHost: desk.example\r\n${text}`);
			t.teardown(() => {
				socket.destroy();
			});
		}, reject);
	});
}

test('a body that fits is read and counted', async t => {
	const memory = new HeldMemory({totalBytes: 10});
	const body = await read(t, 'Content-Length: 10\r\n\r\n0123456789', memory);
	t.is(body.unsafeCoerce().byteLength, 10);
	t.is(memory.held, 10);
});

test('a body that does not fit is rejected as not run before it arrives, with a time to come back', async t => {
	const memory = new HeldMemory({totalBytes: 10});
	memory.open().set(1);
	const body = await read(t, 'Content-Length: 10\r\n\r\n', memory);
	const failed = body.swap().unsafeCoerce();
	t.is(failed.kind, 'overloaded');
	t.true(failed.retryAfterMilliseconds !== undefined);
	t.regex(failed.message, /10 more bytes.*9 bytes.*beside the 1 /v);
	t.is(memory.held, 1);
});

test('a body of unknown length is rejected as soon as it does not fit', async t => {
	const memory = new HeldMemory({totalBytes: 10});
	const body = await read(t, 'Transfer-Encoding: chunked\r\n\r\nc\r\n0123456789ab\r\n', memory);
	const failed = body.swap().unsafeCoerce();
	t.is(failed.kind, 'overloaded');
	t.true(memory.held <= 10);
});

test('without a limit on memory every body is read, and one beyond the limit of bodies is too large with any memory', async t => {
	const body = await read(t, `Content-Length: ${maximumBytes}\r\n\r\n${'x'.repeat(maximumBytes)}`, new HeldMemory());
	t.is(body.unsafeCoerce().byteLength, maximumBytes);
	const large = `Content-Length: ${2 * maximumBytes}\r\n\r\n${'x'.repeat(2 * maximumBytes)}`;
	const tooLarge = await read(t, large, new HeldMemory({totalBytes: 10 * maximumBytes}));
	const failed = tooLarge.swap().unsafeCoerce();
	t.is(failed.kind, 'too-large');
});
