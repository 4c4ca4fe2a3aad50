import {type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {type ServerId} from '@valehitch/core';
import test, {type ExecutionContext} from 'ava';
import {testRoute} from '../configuration/_test-configuration.js';
import {testServer} from '../servers/_test-server.js';
import {startTestEntry} from './_test-entry-instance.js';
import {
	control, listen, sendRequests, type SendRequestsOptions,
} from './_test-run.js';
import {type EntryContext} from './entry-context.js';
import {type EntryServers} from './entry-servers.js';

type Reply = (response: ServerResponse) => void;

const events = 'id: 1\ndata: one\n\n';
const plain = testRoute({
	kind: 'safe', timeout: 2500, targetLatency: 300, maximumAttempts: 4, isPublic: true,
});
const stream = testRoute({
	kind: 'streaming', isResumable: true, timeout: 5000, targetLatency: 300, maximumAttempts: 4, isPublic: true,
});

/** Sends one request through an instance with four servers; the n-th send gets the n-th reply, or the last one. */
async function sendOnce(t: ExecutionContext, replies: readonly Reply[], options: Omit<SendRequestsOptions, 'nextServers'>) {
	let sends = 0;
	let known: EntryServers | undefined;
	const ports = await Promise.all([0, 1, 2, 3].map(async () => listen(t, (_message, response) => {
		const reply = replies[Math.min(sends, replies.length - 1)]!;
		sends++;
		reply(response);
	})));
	const {answers} = await sendRequests(t, 1, {
		...options,
		nextServers(servers) {
			known = servers;
			servers.applyRecords(ports.map((port, index) => testServer({id: `server-${index}` as ServerId, port})), {source: control, now: performance.now()});
		},
	});
	return {answer: answers[0]!, sends: () => sends, loads: () => known!.loads};
}

function answer(response: ServerResponse): void {
	response.end(events);
}

test('a request during which a server has ended is not sent to a third one while its first one is at work', async t => {
	let isFirstAtWork = false;
	let atWorkBeside = 0;
	const {answer: {status}} = await sendOnce(t, [
		response => {
			isFirstAtWork = true;
			response.on('close', () => {
				isFirstAtWork = false;
			});
			void delay(1500).then(() => {
				answer(response);
			});
		},
		response => {
			response.destroy();
		},
		response => {
			atWorkBeside += isFirstAtWork ? 1 : 0;
			answer(response);
		},
	], {route: plain, checkProcess: async () => 'ended'});
	t.deepEqual([status, atWorkBeside], [200, 0]);
});

test('a slow server is not cut off because another one ended during the request', async t => {
	let cuts = 0;
	const slow: Reply = response => {
		response.on('close', () => {
			cuts += response.writableEnded ? 0 : 1;
		});
		void delay(900).then(() => {
			if (!response.destroyed) {
				answer(response);
			}
		});
	};

	const {answer: {status}} = await sendOnce(t, [response => {
		response.destroy();
	}, slow], {route: plain, checkProcess: async () => 'ended'});
	t.deepEqual([status, cuts], [200, 0]);
});

test('a kept send whose answer breaks before it is read is not waited for', async t => {
	let breakFirst: (() => void) | undefined;
	const {answer: {status, text}, loads} = await sendOnce(t, [
		response => {
			breakFirst = () => {
				response.writeHead(200, {'Content-Length': String(events.length)});
				response.write('id');
				void delay(50).then(() => {
					response.destroy();
				});
			};
		},
		response => {
			response.destroy();
		},
		answer,
	], {
		route: plain,
		async checkProcess() {
			breakFirst?.();
			breakFirst = undefined;
			await delay(200);
			return 'running';
		},
	});
	t.deepEqual([status, text, loads()], [200, events, []]);
});

test('the first server is told to stop when the head of the second one\'s stream has come', async t => {
	let isFirstClosed = false;
	let wasClosedBefore: boolean | undefined;
	await sendOnce(t, [
		response => {
			response.on('close', () => {
				isFirstClosed = true;
			});
		},
		response => {
			response.writeHead(200).flushHeaders();
			void delay(1200).then(() => {
				wasClosedBefore = isFirstClosed;
				answer(response);
			});
		},
	], {route: {...stream, targetGap: 3000}});
	t.true(wasClosedBefore);
});

test('nothing is held for a kept send whose error answer ends after the request', async t => {
	let finishFirst: (() => void) | undefined;
	let sends = 0;
	const ports = await Promise.all([0, 1].map(async () => listen(t, (_message, response) => {
		sends++;
		if (sends > 1) {
			finishFirst!();
			void delay(300).then(() => {
				answer(response);
			});
			return;
		}

		finishFirst = () => {
			response.writeHead(500).write('x'.repeat(1000));
			void delay(1000).then(() => {
				response.end('x'.repeat(100_000));
			});
		};
	})));
	const {port, ...entry} = await startTestEntry(t, {
		records: ports.map((serverPort, index) => testServer({id: `server-${index}` as ServerId, port: serverPort})),
		routes: [plain],
		heldBytes: 10_000_000,
	});
	const {status} = await fetch(`http://127.0.0.1:${port}/labels/a`);
	await delay(1500);
	const {values} = await entry.metrics.heldBytes.get();
	t.deepEqual([status, sends, values[0]!.value], [200, 2, 0]);
});

test('the server of a cancelled second send does not count as loaded while the first one streams', async t => {
	let known: EntryServers | undefined;
	let loaded: readonly ServerId[] = [];
	let sends = 0;
	const ports = await Promise.all([0, 1].map(async () => listen(t, (_message, response) => {
		sends++;
		if (sends > 1) {
			return;
		}

		void delay(1200).then(async () => {
			response.write(events);
			await delay(200);
			loaded = known!.loads.map(([id]) => id);
			response.end('id: 2\ndata: two\n\n');
		});
	})));
	const {answers: [first]} = await sendRequests(t, 1, {
		route: {...stream, targetGap: 3000},
		nextServers(servers) {
			known = servers;
			servers.applyRecords(ports.map((port, index) => testServer({id: `server-${index}` as ServerId, port})), {source: control, now: performance.now()});
		},
	});
	t.deepEqual([first!.status, sends, loaded.length], [200, 2, 1]);
});

test('the only server of a service is not cut off while it works because the links to others are in doubt', async t => {
	let context: EntryContext | undefined;
	let cuts = 0;
	const port = await listen(t, (_message, response) => {
		response.on('close', () => {
			cuts += response.writableEnded ? 0 : 1;
		});
		for (const id of ['server-1', 'server-2', 'server-3', 'server-4']) {
			context!.links.of(plain.services[0]!.service).recordUnreachable(id as ServerId);
		}

		void delay(1200).then(() => {
			answer(response);
		});
	});
	const {answers: [first]} = await sendRequests(t, 1, {
		route: plain,
		areServersReachable: false,
		prepare(prepared) {
			context = prepared;
		},
		nextServers(servers) {
			servers.applyRecords([testServer({port})], {source: control, now: performance.now()});
		},
	});
	t.deepEqual([first!.status, cuts], [200, 0]);
});

test('a second send that is never made costs no allowance', async t => {
	const {service} = plain.services[0]!;
	let known: EntryServers | undefined;
	let context: EntryContext | undefined;
	let sends = 0;
	const handle = async (response: ServerResponse): Promise<void> => {
		sends++;
		await delay(1200);
		answer(response);
	};

	const listenOne = async (): Promise<number> => listen(t, (_message, response) => {
		void handle(response);
	});
	const records = [
		testServer({id: 'server-0' as ServerId, port: await listenOne()}),
		testServer({id: 'server-1' as ServerId, port: await listenOne()}),
	];
	const {answers: [first]} = await sendRequests(t, 1, {
		route: plain,
		prepare(prepared) {
			context = prepared;
		},
		log(kind) {
			if (kind === 'request-overdue') {
				// The other server leaves before it can be asked.
				for (const {id} of records) {
					known!.markDraining(id);
				}
			}
		},
		nextServers(servers) {
			known = servers;
			servers.applyRecords(records, {source: control, now: performance.now()});
		},
	});
	let allowed = 0;
	const late = {server: 'i-late', now: 0};
	while (context!.hedges.allows(service, late)) {
		context!.hedges.withdraw(service, late);
		allowed++;
	}

	t.deepEqual([first!.status, sends, allowed], [200, 1, 2]);
});

test('a request that its first server has lost goes to one that joins after the second server has failed', async t => {
	let known: EntryServers | undefined;
	let sends = 0;
	const listenOne = async (): Promise<number> => listen(t, (_message, response) => {
		sends++;
		if (sends === 2) {
			response.writeHead(500).end();
			void delay(200).then(() => {
				known!.applyRecords([third], {source: control, now: performance.now()});
			});
		} else if (sends === 3) {
			answer(response);
		}
	});
	const records = [
		testServer({id: 'server-0' as ServerId, port: await listenOne()}),
		testServer({id: 'server-1' as ServerId, port: await listenOne()}),
	];
	const third = testServer({id: 'server-2' as ServerId, port: await listenOne()});
	const {answers: [first]} = await sendRequests(t, 1, {
		route: plain,
		nextServers(servers) {
			known = servers;
			servers.applyRecords(records, {source: control, now: performance.now()});
		},
	});
	t.deepEqual([first!.status, sends], [200, 3]);
});
