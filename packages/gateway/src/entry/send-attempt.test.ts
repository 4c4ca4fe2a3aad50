import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {type AddressInfo, createServer, type Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {testServer} from '../servers/_test-server.js';
import {collectBody} from './collect-body.js';
import {sendAttempt, type SendAttemptOptions} from './send-attempt.js';

/** A server that treats each connection as told once it has read a request. */
async function serve(t: ExecutionContext, treat: (socket: Socket) => void): Promise<SendAttemptOptions> {
	const sockets = new Set<Socket>();
	const server = createServer(socket => {
		sockets.add(socket);
		socket.on('error', () => {
			socket.destroy();
		});
		socket.on('data', () => {
			treat(socket);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	return {
		server: testServer({port: (server.address() as AddressInfo).port}), method: 'GET', target: '/x/', headers: [[
			'Host',
			'desk.example',
		]], body: Buffer.alloc(0), mayReuse: true, connectTimeout: 1000, silence: undefined, processEnd: new AbortController().signal,
	};
}

function giveUpAfter(quiet: number): SendAttemptOptions['silence'] {
	return {
		quiet, longest: quiet, longestKept: quiet, isHeard: () => false, isReached: async () => false,
	};
}

/** Whether the body of the answer is taken for whole. */
async function isWhole(options: SendAttemptOptions): Promise<boolean> {
	const outcome = await sendAttempt(options).outcome;
	return outcome.type === 'head' && await collectBody(outcome.message, outcome.isWhole) !== undefined;
}

test('an answer without a length ends with its connection, and a reset is no such end', async t => {
	const head = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf of it';
	t.true(await isWhole(await serve(t, socket => {
		socket.end(head);
	})));
	// The kernel reports a reset on its own, or as the end where it follows closely on data.
	for (const delay of [0, 50]) {
		t.false(await isWhole(await serve(t, socket => {
			socket.write(head, () => {
				setTimeout(() => {
					socket.resetAndDestroy();
				}, delay);
			});
		})));
	}
});

test('an answer that is shorter than its length is not whole', async t => {
	t.false(await isWhole(await serve(t, socket => {
		socket.end('HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf of it');
	})));
});

test('what did not open a connection is told from what may have run', async t => {
	const options = await serve(t, socket => {
		socket.destroy();
	});
	const sent = sendAttempt(options);
	t.false(sent.hasOpened());
	const lost = await sent.outcome;
	t.is(lost.type, 'lost');
	t.true(sent.hasOpened());
	const unreachable = await sendAttempt({...options, server: testServer({port: 1})}).outcome;
	t.is(unreachable.type, 'unreachable');
});

test('a server that says nothing is given up when told so, and a cancelled send is no fault of the server', async t => {
	const options = await serve(t, () => {
		// It never answers.
	});
	const silent = await sendAttempt({...options, silence: giveUpAfter(300)}).outcome;
	t.is(silent.type, 'silent');
	const sent = sendAttempt(options);
	sent.cancel();
	const cancelled = await sent.outcome;
	t.is(cancelled.type, 'cancelled');
});

test('bytes after an answer are not taken for the answer to the next request', async t => {
	let connections = 0;
	const options = await serve(t, socket => {
		connections++;
		socket.write(`HTTP/1.1 200 OK\r\nContent-Length: 2\r\nNumber: ${connections}\r\n\r\nok`);
		setTimeout(() => {
			socket.write('HTTP/1.1 200 OK\r\nContent-Length: 4\r\nNumber: stray\r\n\r\nlate');
		}, 5);
	});
	t.true(await isWhole(options));
	await new Promise(resolve => {
		setTimeout(resolve, 60);
	});
	const outcome = await sendAttempt(options).outcome;
	t.is(outcome.type === 'head' ? outcome.message.headers.number : outcome.type, '2');
});

test('once a kept connection says nothing, no other one that was kept to that server is used again', async t => {
	const answered = new Set<Socket>();
	const options = await serve(t, socket => {
		if (!answered.has(socket)) {
			answered.add(socket);
			socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
		}
	});
	t.deepEqual(await Promise.all([isWhole(options), isWhole(options)]), [true, true]);
	const silent = await sendAttempt({...options, silence: giveUpAfter(100)}).outcome;
	t.is(silent.type, 'silent');
	const next = await sendAttempt({...options, silence: giveUpAfter(1000)}).outcome;
	t.is(next.type, 'head');
});

test('a server that is heard on other connections, or takes new ones, is not given up before the longest time', async t => {
	const options = await serve(t, socket => {
		setTimeout(() => {
			socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
		}, 200);
	});
	const given = async (longest: number, {isHeard = false, isReached = false}: {readonly isHeard?: boolean; readonly isReached?: boolean}) => {
		const {type} = await sendAttempt({
			...options, mayReuse: false, silence: {
				quiet: 50, longest, longestKept: longest, isHeard: () => isHeard, isReached: async () => isReached,
			},
		}).outcome;
		return type;
	};

	const outcomes = await Promise.all([
		given(60_000, {isHeard: true}), given(60_000, {isReached: true}), given(60_000, {}), given(100, {isHeard: true}), given(100, {isReached: true}),
	]);
	t.deepEqual(outcomes, ['head', 'head', 'silent', 'silent', 'silent']);
});

test('a kept connection that says nothing has a shorter longest time than a new one', async t => {
	const answered = new Set<Socket>();
	const options = await serve(t, socket => {
		if (!answered.has(socket)) {
			answered.add(socket);
			socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
		}
	});
	t.true(await isWhole(options));
	const silence = {
		quiet: 50, longest: 60_000, longestKept: 100, isHeard: () => true, isReached: async () => true,
	};
	const kept = await sendAttempt({...options, silence}).outcome;
	t.is(kept.type, 'silent');
	const opened = await sendAttempt({...options, silence}).outcome;
	t.is(opened.type, 'head');
});

test('a send whose server is known to have started again ends at once, before and within its answer', async t => {
	const head = 'HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf of it';
	for (const reply of ['', head]) {
		const process = new AbortController();
		const options = await serve(t, socket => {
			socket.write(reply);
		});
		const {outcome} = sendAttempt({...options, processEnd: process.signal});
		if (reply === '') {
			setTimeout(() => {
				process.abort();
			}, 50);
			const {type} = await outcome;
			t.is(type, 'lost');
		} else {
			const answer = await outcome;
			const body = answer.type === 'head' ? collectBody(answer.message, answer.isWhole) : undefined;
			process.abort();
			t.is(await body, undefined);
		}
	}
});
