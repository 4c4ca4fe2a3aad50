import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {connect} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {HeldMemory} from '@valehitch/routing';
import {testRoute} from '../configuration/_test-configuration.js';
import {testServer} from '../servers/_test-server.js';
import {control, listen, sendRequests} from './_test-run.js';

/** Far more than the buffers of the sockets on both sides of the instance. */
const eventCount = 600;
const event = `data: ${'x'.repeat(65_536)}\n\n`;
const eventBytes = Buffer.byteLength(event);
const wholeBytes = eventCount * eventBytes;
/** The time for which an answer may stay unread before its server cuts it off. */
const unreadMilliseconds = 1000;
const callerPauseMilliseconds = 3 * unreadMilliseconds;

/** Sends the events as fast as they are read, and cuts off the answer if it stays unread. */
async function streamUnlessUnread(response: ServerResponse): Promise<'complete' | 'cut off'> {
	response.writeHead(200, {'Content-Type': 'text/event-stream'});
	for (let sent = 0; sent < eventCount; sent++) {
		if (response.write(event)) {
			continue;
		}

		const isRead = await Promise.race([once(response, 'drain').then(() => true, () => false), delay(unreadMilliseconds, false)]);
		if (!isRead) {
			response.destroy();
			return 'cut off';
		}
	}

	response.end();
	return 'complete';
}

/** Asks for an answer on a socket of its own, reads nothing for a while, and then all that comes. */
async function readLate(port: number): Promise<{readonly status: number; readonly text: string; readonly bytes: number}> {
	const socket = connect(port, '127.0.0.1');
	socket.write('GET / HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\n\r\n');
	await delay(callerPauseMilliseconds);
	let head = '';
	let bytes = 0;
	socket.on('data', (chunk: Uint8Array) => {
		bytes += chunk.byteLength;
		head ||= Buffer.from(chunk).toString('latin1', 0, 20);
	});
	socket.on('error', error => {
		head += ` ${error.message}`;
	});
	await once(socket, 'close');
	return {status: Number(head.split(' ')[1]), text: head, bytes};
}

/** Runs one request of a caller that reads late. */
async function run(t: ExecutionContext, memory: HeldMemory) {
	const ends: string[] = [];
	let mostHeld = 0;
	const port = await listen(t, (_message: IncomingMessage, response) => {
		void streamUnlessUnread(response).then(end => {
			mostHeld = Math.max(mostHeld, memory.held);
			ends.push(end);
		});
	});
	let bytes = 0;
	await sendRequests(t, 1, {
		nextServers(servers) {
			servers.applyRecords([testServer({port})], {source: control, now: performance.now()});
		},
		route: testRoute({
			kind: 'streaming', isResumable: false, timeout: 30_000, maximumAttempts: 1,
		}),
		memory,
		async call(entryPort) {
			const answer = await readLate(entryPort);
			bytes = answer.bytes;
			return answer;
		},
	});
	return {ends, bytes, mostHeld};
}

test('an answer is not cut off by its server while its caller reads nothing for some time and it fits into memory', async t => {
	const memory = new HeldMemory({totalBytes: 4 * wholeBytes, answerBytes: 2 * wholeBytes});
	const {ends, bytes, mostHeld} = await run(t, memory);
	t.deepEqual(ends, ['complete']);
	t.true(bytes >= wholeBytes);
	t.true(mostHeld > 0);
	t.is(memory.held, 0);
});

for (const [limit, totalBytes] of [['no limit', undefined], ['a limit', 32 * eventBytes]] as const) {
	test(`with ${limit} on memory, an instance holds no more of an answer than it may, although its server cuts it off`, async t => {
		const memory = new HeldMemory({totalBytes, answerBytes: 8 * eventBytes});
		const {ends, bytes, mostHeld} = await run(t, memory);
		t.deepEqual(ends, ['cut off']);
		t.true(bytes < wholeBytes);
		t.true(mostHeld <= 10 * eventBytes);
		t.is(memory.held, 0);
	});
}
