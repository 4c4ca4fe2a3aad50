import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {type Failure, failure, type ServerId} from '@valehitch/core';
import test from 'ava';
import {testConfiguration, testRoute} from '../configuration/_test-configuration.js';
import {testServer} from '../servers/_test-server.js';
import {startTestEntry} from './_test-entry-instance.js';
import {type EntryInstance} from './entry-instance.js';
import {listen, plainDialect} from './_test-run.js';

const event = `data: ${'x'.repeat(20_000)}\n\n`;
/** Far less than an instance buffers of an answer, and far more than an event. */
const bufferedBytes = 200_000;
const getRequest = 'GET /labels/7 HTTP/1.1\r\nHost: desk.example\r\n\r\n';
/** Longer than the interval between reports of work. */
const answerMilliseconds = 300;

test('an instance that stops waits until a slow caller has read the answer that it has buffered', async t => {
	let sent = 0;
	let end: (() => void) | undefined;
	const serverPort = await listen(t, (_message, response) => {
		response.writeHead(200, {'Content-Type': 'text/event-stream'});
		const timer = setInterval(() => {
			response.write(event);
			sent++;
		}, 2);
		end = () => {
			clearInterval(timer);
			response.end();
		};
	});
	const {entry, port, metrics} = await startTestEntry(t, {
		records: [testServer({port: serverPort})],
		routes: [testRoute({kind: 'streaming', isPublic: true, timeout: 30_000})],
		heldBytes: 100 * bufferedBytes,
	});
	const caller = connect(port, '127.0.0.1');
	t.teardown(() => {
		caller.destroy();
	});
	caller.write('GET /labels/7 HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\n\r\n');
	let held = 0;
	while (held <= bufferedBytes) {
		await delay(20);
		const {values: [gauge]} = await metrics.heldBytes.get();
		held = gauge?.value ?? 0;
	}

	end?.();
	// The instance takes its time to forward the last bytes.
	await delay(500);
	const stopped = stop(entry);
	await delay(500);
	let text = '';
	let bytes = 0;
	caller.on('data', (chunk: Uint8Array) => {
		bytes += chunk.byteLength;
		text = (text + Buffer.from(chunk).toString('latin1')).slice(-20);
	});
	caller.on('error', () => undefined);
	await once(caller, 'close');
	await stopped;
	t.true(bytes > sent * event.length, `${bytes} of ${sent * event.length} bytes came`);
	t.true(text.endsWith('0\r\n\r\n'));
});

for (const [entryCount, expected] of [[8, {reading: 120, streams: 4, slowness: 1}], [7, undefined]] as const) {
	test(`one of ${entryCount} instances tells its operator ${expected === undefined ? 'no' : 'the'} work of all instances at a server`, async t => {
		const serverPort = await listen(t, (_message, response) => {
			setTimeout(() => {
				response.end('done');
			}, answerMilliseconds);
		});
		const {entry, port} = await startTestEntry(t, {
			records: [testServer({port: serverPort})],
			routes: [testRoute({isPublic: true})],
			entryCount,
			work: {rows: [['server-1' as ServerId, 120, 4, 0, 0]], held: [], age: 0},
		});
		await fetch(`http://127.0.0.1:${port}/labels/7`);
		const [belief] = entry.inspection.beliefs();
		t.deepEqual(belief?.work, expected);
		t.is(belief?.workAge === undefined, expected === undefined);
	});
}

test('a configuration that is reported again, as by several control instances, is parsed once', async t => {
	let parses = 0;
	const serverPort = await listen(t, (_message, response) => {
		response.end('done');
	});
	const {entry} = await startTestEntry(t, {
		records: [testServer({port: serverPort})],
		routes: [testRoute({isPublic: true})],
		onParse() {
			parses++;
			return undefined;
		},
	});
	// The control instance reports it with each reply.
	await delay(500);
	t.true(entry.isReady);
	t.is(parses, 1);
});

test('the lease ends when the current configuration cannot be read, since it may have revoked a key', async t => {
	let refused: Failure | undefined;
	const {entry, changeRoutes} = await startTestEntry(t, {
		records: [], routes: [testRoute()], leaseMilliseconds: 200, onParse: () => refused,
	});
	refused = failure('malformed-request', 'The configuration has an unknown field');
	changeRoutes([testRoute()]);
	while (entry.isReady) {
		await delay(20);
	}

	refused = undefined;
	changeRoutes([testRoute()]);
	while (!entry.isReady) {
		await delay(20);
	}

	t.true(entry.isReady);
});

test('a caller that reads only after it has written a late body learns that an instance that stops has not run it', async t => {
	const {entry, port} = await startTestEntry(t, {records: [], routes: [testRoute({isPublic: true})]});
	entry.beginStop(performance.now() + 900);
	const caller = connect({port, host: '127.0.0.1', noDelay: true});
	t.teardown(() => {
		caller.destroy();
	});
	caller.on('error', () => undefined);
	const closed = new Promise(resolve => {
		caller.on('close', resolve);
	});
	caller.pause();
	caller.write('POST /labels/7 HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 400000\r\n\r\n');
	for (let piece = 0; piece < 4; piece++) {
		await delay(30);
		await new Promise(resolve => {
			caller.write('x'.repeat(100_000), resolve);
		});
	}

	let text = '';
	caller.on('data', chunk => {
		text += String(chunk);
	});
	caller.resume();
	await Promise.race([closed, new Promise(resolve => {
		caller.on('data', resolve);
	})]);
	t.regex(text, /^HTTP\/1\.1 503 /v);
});

test('a request behind an answer that closes the connection is not sent to a server', async t => {
	let sent = 0;
	const serverPort = await listen(t, (_message, response) => {
		sent++;
		setTimeout(() => {
			response.end('done');
		}, 50);
	});
	const logged: string[] = [];
	const {entry, port} = await startTestEntry(t, {
		records: [testServer({port: serverPort})],
		routes: [testRoute({isPublic: true, targetLatency: 800})],
		log(kind, {outcome}) {
			logged.push(`${kind} ${String(outcome)}`);
		},
	});
	entry.beginStop(performance.now() + 30_000);
	const caller = connect(port, '127.0.0.1');
	let text = '';
	caller.on('data', chunk => {
		text += String(chunk);
	});
	caller.write(getRequest.repeat(2));
	await once(caller, 'close');
	await entry.drained(performance.now() + 30_000);
	t.is(sent, 1);
	t.deepEqual(statusesIn(text), ['200']);
	t.true(logged.includes('request-ended not-handled'));
});

test('all whole requests that have arrived on a connection before an instance stops are answered or refused', async t => {
	const sent: unknown[] = [];
	const serverPort = await listen(t, ({url}, response) => {
		sent.push(url);
		setTimeout(() => {
			response.end('done');
		}, answerMilliseconds);
	});
	const {entry, port} = await startTestEntry(t, {
		records: [testServer({port: serverPort})],
		routes: [testRoute({isPublic: true, timeout: 5000, targetLatency: 800})],
	});
	const caller = connect(port, '127.0.0.1');
	let text = '';
	caller.on('data', chunk => {
		text += String(chunk);
	});
	caller.write(getRequest.repeat(3));
	while (sent.length === 0) {
		await delay(20);
	}

	entry.beginStop(performance.now() + 30_000);
	await once(caller, 'close');
	t.is(statusesIn(text).length, 3);
});

test('the time that a request waits behind another one on its connection counts towards its deadline', async t => {
	const serverPort = await listen(t, (_message, response) => {
		setTimeout(() => {
			response.end('done');
		}, answerMilliseconds);
	});
	const routeTimeout = 30_000;
	const timeouts: number[] = [];
	const {port} = await startTestEntry(t, {
		records: [testServer({port: serverPort})],
		routes: [testRoute({isPublic: true, timeout: routeTimeout, maximumAttempts: 1})],
		dialect: {
			sendHeaders(request, options) {
				timeouts.push(options.timeout);
				return plainDialect.sendHeaders(request, options);
			},
		},
	});
	const caller = connect(port, '127.0.0.1');
	t.teardown(() => {
		caller.destroy();
	});
	let text = '';
	caller.on('data', chunk => {
		text += String(chunk);
	});
	caller.write(getRequest.repeat(2));
	while (statusesIn(text).length < 2) {
		await once(caller, 'data');
	}

	t.deepEqual(statusesIn(text), ['200', '200']);
	t.true(timeouts[1]! <= routeTimeout - answerMilliseconds, `${timeouts[1]} ms are left`);
});

for (const failing of ['readRequest', 'sendHeaders', 'readAnswer'] as const) {
	test(`a caller is answered if ${failing} throws, and its connection can be used again`, async t => {
		const isClosed: Array<Promise<unknown>> = [];
		const serverPort = await listen(t, (message, response) => {
			isClosed.push(once(message.socket, 'close'));
			response.write('do');
			if (failing !== 'readAnswer' || isClosed.length > 1) {
				response.end('ne');
			}
		});
		const logged: string[] = [];
		let fails = true;
		const {port} = await startTestEntry(t, {
			records: [testServer({port: serverPort})],
			routes: [testRoute({isPublic: true, timeout: answerMilliseconds})],
			dialect: {
				[failing](...given: unknown[]) {
					if (fails) {
						fails = false;
						throw new Error('Injected error');
					}

					return (plainDialect[failing] as (...given: unknown[]) => unknown)(...given);
				},
			},
			log(kind, {outcome, reason}) {
				logged.push(`${kind} ${String(outcome)} ${String(reason).split('\n', 1)[0]!}`);
			},
		});
		const caller = connect(port, '127.0.0.1');
		t.teardown(() => {
			caller.destroy();
		});
		let text = '';
		caller.on('data', chunk => {
			text += String(chunk);
		});
		caller.write(getRequest);
		await Promise.race([once(caller, 'data'), once(caller, 'close')]);
		t.deepEqual(statusesIn(text), ['500']);
		t.true(logged.includes('request-ended internal Error: Injected error'));
		// The time limit of the request must find nothing to end.
		await delay(2 * answerMilliseconds);
		caller.write(getRequest);
		await once(caller, 'data');
		t.deepEqual(statusesIn(text), ['500', '200']);
		// The send that was in progress is closed.
		await isClosed[0];
	});
}

for (const [state, others] of [['another request is in progress', 1], ['no request is in progress', 0]] as const) {
	test(`a request that has arrived is answered by an instance that stops after it was held up, while ${state}`, async t => {
		const serverPort = await listen(t, (_message, response) => {
			setTimeout(() => {
				response.end('done');
			}, 100);
		});
		const {entry, port} = await startTestEntry(t, {
			records: [testServer({port: serverPort})],
			routes: [testRoute({isPublic: true, targetLatency: 800})],
		});
		const caller = connect(port, '127.0.0.1');
		caller.on('error', () => undefined);
		caller.write(getRequest);
		await once(caller, 'data');
		entry.beginStop(performance.now() + 30_000);
		const other = Array.from({length: others}, async () => fetch(`http://127.0.0.1:${port}/labels/7`));
		await delay(50 * others);
		caller.write(getRequest);
		const stopped = entry.drained(performance.now() + 30_000).then(() => {
			entry.close();
		});
		const [answer] = await Promise.race([once(caller, 'data'), once(caller, 'close')]) as [unknown];
		t.regex(String(answer), /^HTTP\/1\.1 200 /v);
		await Promise.all(other);
		await stopped;
	});
}

for (const [reason, routes] of [['no route', []], ['a time limit that ends too late', [testRoute({isPublic: true, timeout: 20_000})]]] as const) {
	test(`a request with a body that an instance that stops refuses because of ${reason} closes its connection`, async t => {
		const {entry, port} = await startTestEntry(t, {records: [], routes});
		const caller = connect(port, '127.0.0.1');
		t.teardown(() => {
			caller.destroy();
		});
		entry.beginStop(performance.now() + 10_000);
		caller.write('POST /labels/7 HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 5\r\n\r\nlabel');
		const [answer] = await once(caller, 'data') as [unknown];
		t.regex(String(answer), /^connection: close/imv);
	});
}

/** Stops an instance, and closes it once it has drained. */
async function stop(entry: EntryInstance): Promise<void> {
	const until = performance.now() + 30_000;
	entry.beginStop(until);
	await entry.drained(until);
	entry.close();
}

test('an instance that drains keeps an idle connection until its caller has been told to close it', async t => {
	const serverPort = await listen(t, (_message, response) => {
		response.end('done');
	});
	const {entry, port} = await startTestEntry(t, {
		records: [testServer({port: serverPort})],
		routes: [testRoute({isPublic: true, targetLatency: 800})],
	});
	const caller = connect(port, '127.0.0.1');
	caller.on('error', () => undefined);
	caller.write(getRequest);
	await once(caller, 'data');
	const closed = once(caller, 'close');
	const stopped = stop(entry);
	await delay(300);
	caller.write(getRequest);
	const [answer] = await Promise.race([once(caller, 'data'), closed]) as [unknown];
	t.regex(String(answer), /^HTTP\/1\.1 200 [\s\S]*^connection: close/imv);
	await stopped;
});

test('an instance that drains keeps a connection for the idle time that its last answer announced, though a shorter one was set since', async t => {
	const logged: string[] = [];
	const serverPort = await listen(t, (_message, response) => {
		response.end('done');
	});
	const {entry, port, changeConfiguration} = await startTestEntry(t, {
		records: [testServer({port: serverPort})],
		routes: [testRoute({isPublic: true, targetLatency: 800})],
		log(kind, {version}) {
			logged.push(`${kind} ${String(version)}`);
		},
	});
	const caller = connect(port, '127.0.0.1');
	t.teardown(() => {
		caller.destroy();
	});
	caller.on('error', () => undefined);
	caller.write(getRequest);
	await once(caller, 'data');
	changeConfiguration({limits: {...testConfiguration().limits, idleTimeout: 10}});
	while (!logged.includes('configuration-adopted 2')) {
		await delay(20);
	}

	const closed = once(caller, 'close');
	const stopped = stop(entry);
	await delay(300);
	caller.write(getRequest);
	const [answer] = await Promise.race([once(caller, 'data'), closed]) as [unknown];
	t.regex(String(answer), /^HTTP\/1\.1 200 [\s\S]*^connection: close/imv);
	await stopped;
});

test('an instance that drains does not wait for connections that are idle for longer than callers keep them', async t => {
	const {entry, port} = await startTestEntry(t, {records: [], routes: [testRoute({isPublic: true})], idleTimeout: 200});
	const caller = connect(port, '127.0.0.1');
	caller.on('error', () => undefined);
	const ended = once(caller.resume(), 'end');
	const until = performance.now() + 30_000;
	entry.beginStop(until);
	await entry.drained(until);
	await ended;
	t.true(performance.now() < until);
});

test('the requests that a stopping instance cuts off are told apart from callers that leave', async t => {
	const serverPort = await listen(t, () => undefined);
	const logged: string[] = [];
	const {entry, port, metrics} = await startTestEntry(t, {
		records: [testServer({port: serverPort})],
		routes: [testRoute({isPublic: true, timeout: 30_000, targetLatency: 30_000})],
		log(kind, {count}) {
			logged.push(`${kind} ${String(count)}`);
		},
	});
	const caller = connect(port, '127.0.0.1');
	caller.on('error', () => undefined);
	caller.write(getRequest);
	while (!logged.some(line => line.startsWith('request-dispatched '))) {
		await delay(20);
	}

	const closed = once(caller, 'close');
	entry.close();
	caller.resume();
	await closed;
	t.true(logged.includes('requests-cut-off 1'));
	const {values} = await metrics.closedConnections.get();
	t.deepEqual(values.map(({value, labels: {reason}}) => [reason, value]), [['stopping', 1]]);
});

function statusesIn(text: string): string[] {
	return Array.from(text.matchAll(/HTTP\/1\.1 (?<status>\d+) /gv), ({groups}) => groups!.status!);
}
