import {once} from 'node:events';
import {mkdtemp, readFile} from 'node:fs/promises';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {text} from 'node:stream/consumers';
import {fileURLToPath} from 'node:url';
import {type Announcement, announcementSchema} from '@valehitch/core';
import test, {type ExecutionContext} from 'ava';
import {startAnnouncer} from './announcer.js';
import {freePorts} from './free-ports.js';
import {ManagedProcess} from './managed-process.js';
import {waitUntil} from './wait-until.js';

async function startRegistry(t: ExecutionContext) {
	const announcements: Announcement[] = [];
	const answer = async (request: IncomingMessage, response: ServerResponse) => {
		const isAuthorized = request.headers.authorization === 'Bearer backend-key';
		announcements.push(announcementSchema.parse(JSON.parse(await text(request))));
		response.writeHead(isAuthorized ? 200 : 401).end('{"renewAfterMilliseconds": 20}');
	};

	const server = createServer((request, response) => {
		void answer(request, response);
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.close();
	});
	return {announcements, address: `http://127.0.0.1:${(server.address() as AddressInfo).port}`};
}

test('tries the next daemon, renews, and announces a shutdown', async t => {
	const registry = await startRegistry(t);
	const [deadPort] = await freePorts(1);
	const announcer = startAnnouncer({
		daemons: [`http://127.0.0.1:${deadPort}`, registry.address],
		key: 'backend-key',
		server: 'engine-1',
		zone: 'prairie-south-a',
		address: 'http://127.0.0.1:9001',
		models: ['tag-small@1.0'],
		capacity: 4,
		active: () => 2,
	});
	await waitUntil(async () => registry.announcements.length >= 3 || undefined, {description: 'renewals'});
	await announcer.announceShutdown();
	t.true(registry.announcements.at(-1)?.shuttingDown);
	await announcer.stop();
	const [first, second] = registry.announcements;
	t.false(first?.shuttingDown);
	t.is(first?.models.length, 1);
	t.is(first?.active, 2);
	t.true((second?.sequence ?? 0) > (first?.sequence ?? 0));
	t.is(first?.startedAt, second?.startedAt);
});

test('a fake service runs as a process, announces its start and shutdown, and can be restarted', async t => {
	const registry = await startRegistry(t);
	const folder = await mkdtemp(path.join(tmpdir(), 'valehitch-fake-'));
	const script = fileURLToPath(new URL('bin/fake-service.js', import.meta.url));
	const fake = new ManagedProcess({
		name: 'labels-1',
		command: [script, '--server=labels-1', '--service=labels', '--capacity=3', `--announce=${registry.address}`],
		logFile: path.join(folder, 'labels-1.log'),
	});
	fake.start();
	t.teardown(async () => fake.kill());
	await waitUntil(async () => registry.announcements[0], {description: 'an announcement'});
	t.is(String(registry.announcements[0]?.service), 'labels');
	t.is(registry.announcements[0]?.kind, 'service');
	t.deepEqual(await fake.stop(), {code: 0, signal: undefined});
	t.true(registry.announcements.some(announcement => announcement.shuttingDown));
	const seen = registry.announcements.length;
	fake.start();
	await waitUntil(async () => registry.announcements[seen], {description: 'an announcement after the restart'});
	t.deepEqual(await fake.kill(), {code: undefined, signal: 'SIGKILL'});
	t.regex(await readFile(fake.logFile, 'utf8'), /labels-1 listens on/v);
});
