import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {type AddressInfo, createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {text} from 'node:stream/consumers';
import {fileURLToPath} from 'node:url';
import test from 'ava';

const script = fileURLToPath(new URL('valehitchd.js', import.meta.url));
const keySecret = 'a-secret-of-the-test-0123456789';
const listeners = ['callers', 'backends', 'operators', 'peers'] as const;

function renderSettings(occupied: typeof listeners[number] | undefined, {port = 0, dataFolder}: {readonly port?: number; readonly dataFolder: string}): string {
	return JSON.stringify({
		instance: 'control-a',
		region: 'prairie-south',
		zone: 'prairie-south-a',
		roles: ['control', 'entry'],
		listen: Object.fromEntries(listeners.map(name => [name, {host: '127.0.0.1', port: name === occupied ? port : 0}])),
		control: [{
			instance: 'control-a', zone: 'prairie-south-a', host: '127.0.0.1', port: 0,
		}],
		dataFolder,
		keys: {peers: keySecret, sessions: [{id: 'first', key: keySecret}]},
	});
}

for (const occupied of listeners) {
	test(`the daemon exits with code 1 and reports the port if the port for ${occupied} is in use`, async t => {
		t.timeout(60_000);
		const folder = await mkdtemp(path.join(tmpdir(), 'valehitch-port-'));
		t.teardown(async () => rm(folder, {recursive: true, force: true}));
		const occupant = createServer().listen(0, '127.0.0.1');
		await once(occupant, 'listening');
		t.teardown(() => {
			occupant.close();
		});
		const {port} = occupant.address() as AddressInfo;
		const file = path.join(folder, 'settings.yaml');
		await writeFile(file, renderSettings(occupied, {port, dataFolder: path.join(folder, 'data')}));
		const daemon = spawn(process.execPath, [script, '--settings', file], {stdio: ['ignore', 'ignore', 'pipe']});
		t.teardown(() => {
			daemon.kill('SIGKILL');
		});
		const errors = text(daemon.stderr);
		const [code] = await once(daemon, 'exit') as [number | undefined];
		t.is(code, 1);
		t.regex(await errors, new RegExp(String.raw`EADDRINUSE.*${port}`, 'v'));
	});
}

test('SIGHUP does not end the daemon, which then stops as usual', async t => {
	t.timeout(60_000);
	const folder = await mkdtemp(path.join(tmpdir(), 'valehitch-signal-'));
	t.teardown(async () => rm(folder, {recursive: true, force: true}));
	const file = path.join(folder, 'settings.yaml');
	await writeFile(file, renderSettings(undefined, {dataFolder: path.join(folder, 'data')}));
	const daemon = spawn(process.execPath, [script, '--settings', file], {stdio: ['ignore', 'pipe', 'inherit']});
	t.teardown(() => {
		daemon.kill('SIGKILL');
	});
	const exit = once(daemon, 'exit');
	for await (const line of createInterface({input: daemon.stdout})) {
		if (line.includes('instance-started')) {
			daemon.kill('SIGHUP');
		} else if (line.includes('SIGHUP has no effect')) {
			daemon.kill('SIGTERM');
		}
	}

	t.deepEqual(await exit, [0, null]);
});
