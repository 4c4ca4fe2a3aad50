import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {type AddressInfo, connect} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {abortResponse} from './abort-response.js';
import {ConnectionTurns} from './connection-turns.js';
import {whenCallerLeaves} from './when-caller-leaves.js';

/** Starts a server that handles a request when its turn comes, and connects to it. */
async function connectInTurns(t: ExecutionContext, handle: (response: ServerResponse, url: string) => void) {
	const turns = new ConnectionTurns();
	const handled: string[] = [];
	const skipped: string[] = [];
	const arrived: string[] = [];
	const server = createServer(({url = ''}, response) => {
		arrived.push(url);
		void turns.next(response).then(canAnswer => {
			if (canAnswer) {
				handled.push(url);
				handle(response, url);
			} else {
				skipped.push(url);
			}
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
	let text = '';
	caller.on('data', chunk => {
		text += String(chunk);
	});
	caller.on('error', () => undefined);
	t.teardown(() => {
		caller.destroy();
		server.close();
		server.closeAllConnections();
	});
	return {
		caller, arrived, handled, skipped, received: () => text,
	};
}

function request(url: string): string {
	return `GET ${url} HTTP/1.1\r\nHost: desk.example\r\n\r\n`;
}

test('a request is not handled while an earlier one on its connection is unanswered', async t => {
	const responses: ServerResponse[] = [];
	const {caller, arrived, handled, received} = await connectInTurns(t, (response, url) => {
		responses.push(response);
		if (url === '/2') {
			response.end('second');
		}
	});
	caller.write(request('/1') + request('/2'));
	while (arrived.length < 2) {
		await delay(5);
	}

	t.deepEqual(handled, ['/1']);
	responses[0]!.end('first');
	while (!received().includes('second')) {
		await delay(5);
	}

	t.deepEqual(handled, ['/1', '/2']);
	t.regex(received(), /first[\s\S]*second/v);
});

for (const [name, end] of [
	['closes the connection', (response: ServerResponse) => {
		response.writeHead(200, {Connection: 'close'}).end();
	}],
	['is broken off', (response: ServerResponse) => {
		response.write('part');
		abortResponse(response);
	}],
] as const) {
	test(`requests behind an answer that ${name} are not handled`, async t => {
		const {caller, handled, skipped} = await connectInTurns(t, response => {
			setTimeout(end, 50, response);
		});
		caller.write(request('/1') + request('/2') + request('/3'));
		await once(caller, 'close');
		while (skipped.length < 2) {
			await delay(5);
		}

		t.deepEqual(handled, ['/1']);
		t.deepEqual(skipped, ['/2', '/3']);
	});
}

test('a caller with many waiting requests is seen to leave while the first one is unanswered', async t => {
	const leaving: Array<Promise<void>> = [];
	const {caller, arrived, skipped} = await connectInTurns(t, response => {
		leaving.push(new Promise(resolve => {
			whenCallerLeaves(response, resolve);
		}));
	});
	const total = 100;
	caller.write(request('/next').repeat(total));
	while (arrived.length < total) {
		await delay(5);
	}

	caller.destroy();
	await leaving[0];
	while (skipped.length < total - 1) {
		await delay(5);
	}

	t.is(arrived.length, total);
	t.is(skipped.length, total - 1);
});

test('a caller that sends requests without end fills no memory while the first one is unanswered', async t => {
	let first: ServerResponse | undefined;
	const {caller, arrived, handled} = await connectInTurns(t, (response, url) => {
		if (url === '/first') {
			first = response;
		} else {
			response.end();
		}
	});
	const total = 20_000;
	caller.write(request('/first'));
	for (let index = 0; index < total; index++) {
		caller.write(request('/next'));
	}

	await delay(500);
	const readBytes = arrived.length * Buffer.byteLength(request('/next'));
	t.true(readBytes < 200_000, `${readBytes} bytes of requests were read`);
	t.deepEqual(handled, ['/first']);
	first!.end();
	while (handled.length <= total) {
		await delay(20);
	}

	t.is(arrived.length, total + 1);
});
