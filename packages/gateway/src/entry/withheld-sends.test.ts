import {
	type ServerId, type ServiceId, type WorkspaceId, type ZoneId,
} from '@valehitch/core';
import test from 'ava';
import {testConfiguration, testRoute} from '../configuration/_test-configuration.js';
import {RouteTable} from '../configuration/route-table.js';
import {type RouteId, type RoutingConfiguration} from '../configuration/routing-configuration.js';
import {testServer} from '../servers/_test-server.js';
import {
	control, ignore, listen, sendRequests,
} from './_test-run.js';
import {type EntryContext} from './entry-context.js';
import {type EntryServers} from './entry-servers.js';

/** Has a configuration come into force when a connection to a server of the first service opens. */
function activateAtOpening(context: EntryContext, configuration: RoutingConfiguration): {table: RouteTable | undefined} {
	const active = {table: context.table()};
	Object.assign(context, {table: () => active.table});
	context.links.of(testServer().service).recordConnected = () => {
		active.table = new RouteTable(configuration);
	};

	return active;
}

test('a request whose route is removed while its connection opens is not sent, and its server has not failed', async t => {
	let runs = 0;
	const port = await listen(t, (_message, response) => {
		runs++;
		response.end('printed');
	});
	const suspected: string[] = [];
	const {answers, evidence} = await sendRequests(t, 1, {
		nextServers: ignore,
		log(event) {
			suspected.push(...event === 'server-suspected' ? [event] : []);
		},
		prepare(context) {
			context.servers.applyRecords([testServer({port})], {source: control, now: performance.now()});
			activateAtOpening(context, testConfiguration({routes: []}));
		},
	});
	t.deepEqual(answers, [{status: 404, text: 'not-found'}]);
	t.is(runs, 0);
	t.deepEqual(evidence.map(({failures}) => failures), []);
	t.deepEqual(suspected, []);
});

test('a request whose route is replaced by one of another service while its connection opens is not sent to the former service', async t => {
	let runs = 0;
	const former = await listen(t, (_message, response) => {
		runs++;
		response.end('printed');
	});
	const port = await listen(t, (_message, response) => {
		response.end('plated');
	});
	const plates = 'plates' as ServiceId;
	const {answers} = await sendRequests(t, 1, {
		nextServers: ignore,
		prepare(context) {
			context.servers.applyRecords([testServer({port: former}), testServer({id: 'server-2' as ServerId, service: plates, port})], {source: control, now: performance.now()});
			activateAtOpening(context, testConfiguration({
				routes: [testRoute({id: 'plates' as RouteId, services: [{service: plates, weight: 1}]})],
				services: [{id: plates, maximumConnections: 100, models: []}],
			}));
		},
	});
	t.deepEqual(answers, [{status: 200, text: 'plated'}]);
	t.is(runs, 0);
});

test('a request whose key goes to another workspace while its connection opens is sent for that workspace', async t => {
	const workspaces: unknown[] = [];
	const port = await listen(t, ({headers}, response) => {
		workspaces.push(headers.workspace);
		response.end('printed');
	});
	const {answers} = await sendRequests(t, 1, {
		nextServers: ignore,
		prepare(context) {
			const sendHeaders: EntryContext['dialect']['sendHeaders'] = (_request, {workspace}) => [['Host', 'desk.example'], ['Workspace', workspace ?? 'none']];
			Object.assign(context.dialect, {sendHeaders});
			context.servers.applyRecords([testServer({port})], {source: control, now: performance.now()});
			activateAtOpening(context, testConfiguration({workspaces: [{id: 'yards' as WorkspaceId, keys: ['k1'], priority: 1}]}));
		},
	});
	t.deepEqual(answers, [{status: 200, text: 'printed'}]);
	t.deepEqual(workspaces, ['yards']);
});

const changesOfServers: Record<string, (servers: EntryServers, server: ReturnType<typeof testServer>) => void> = {
	'whose availability zone is evacuated'(servers, {zone}) {
		servers.applyEvacuations({revision: 1, zones: [{zone, isEvacuated: true, revision: 1}]}, performance.now());
	},
	'that announces its shutdown'(servers, {id}) {
		servers.markDraining(id);
	},
};

for (const [which, change] of Object.entries(changesOfServers)) {
	test(`a request is not sent to a server ${which} while its connection opens, but to another one`, async t => {
		let runs = 0;
		const former = await listen(t, (_message, response) => {
			runs++;
			response.end('printed');
		});
		const port = await listen(t, (_message, response) => {
			response.end('printed elsewhere');
		});
		const {answers} = await sendRequests(t, 1, {
			nextServers: ignore,
			prepare({servers, links}) {
				const server = testServer({port: former});
				servers.applyRecords([server], {source: control, now: performance.now()});
				links.of(server.service).recordConnected = () => {
					change(servers, server);
					servers.applyRecords([testServer({id: 'server-2' as ServerId, port, zone: 'hall-b' as ZoneId})], {source: control, now: performance.now()});
				};
			},
		});
		t.deepEqual(answers, [{status: 200, text: 'printed elsewhere'}]);
		t.is(runs, 0);
	});
}

test('a server to which a request was not sent any more is not suspected when its deadline passes', async t => {
	const port = await listen(t, (_message, response) => {
		response.end('printed');
	});
	const suspected: string[] = [];
	const {answers} = await sendRequests(t, 1, {
		nextServers: ignore,
		route: testRoute({timeout: 1500}),
		log(event) {
			suspected.push(...event === 'server-suspected' ? [event] : []);
		},
		prepare(context) {
			const server = testServer({port});
			context.servers.applyRecords([server], {source: control, now: performance.now()});
			const {table} = context;
			const active = activateAtOpening(context, testConfiguration({routes: []}));
			const {log} = context;
			Object.assign(context, {
				log(...line: Parameters<typeof log>) {
					log(...line);
					if (line[0] === 'request-attempt-ended') {
						active.table = table();
						context.servers.markDraining(server.id);
					}
				},
				nextServerChange: async () => new Promise(ignore),
			});
		},
	});
	t.is(answers[0]?.status, 503);
	t.deepEqual(suspected, []);
});

test.serial('a request whose deadline passes while its connection opens, in a process that is held up, is not sent', async t => {
	let runs = 0;
	const port = await listen(t, (_message, response) => {
		runs++;
		response.end('printed');
	});
	const {answers} = await sendRequests(t, 1, {
		nextServers: ignore,
		route: testRoute({timeout: 500}),
		prepare(context) {
			const {service} = testServer();
			context.servers.applyRecords([testServer({port})], {source: control, now: performance.now()});
			context.links.of(service).recordConnected = () => {
				Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 600);
			};
		},
	});
	t.is(answers[0]?.status, 503);
	t.is(runs, 0);
});

test('a server that ends when a connection to it has opened does not speak against the links of the instance', async t => {
	const port = await listen(t, (_message, response) => {
		response.end('printed');
	});
	const unreachable: ServerId[] = [];
	const {answers} = await sendRequests(t, 1, {
		nextServers: ignore,
		prepare({servers, links}) {
			const server = testServer({port, startedAt: 1});
			servers.applyRecords([server], {source: control, now: performance.now()});
			const serviceLinks = links.of(server.service);
			serviceLinks.recordUnreachable = id => {
				unreachable.push(id);
			};

			serviceLinks.recordConnected = () => {
				servers.applyRecords([testServer({id: 'server-2' as ServerId, port, startedAt: 2})], {source: control, now: performance.now()});
			};
		},
	});
	t.deepEqual(answers, [{status: 200, text: 'printed'}]);
	t.deepEqual(unreachable, []);
});
