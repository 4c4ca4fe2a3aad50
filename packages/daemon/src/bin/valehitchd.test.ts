import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {type AddressInfo, createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {fileURLToPath} from 'node:url';
import test from 'ava';

const script = fileURLToPath(new URL('valehitchd.js', import.meta.url));
const secret = 'a-secret-of-the-test-0123456789';
const listeners = ['callers', 'backends', 'operators', 'peers'] as const;

function settingsWith(taken: typeof listeners[number], {port, dataFolder}: {readonly port: number; readonly dataFolder: string}): string {
	return JSON.stringify({
		instance: 'control-a',
		region: 'prairie-south',
		zone: 'prairie-south-a',
		roles: ['control', 'entry'],
		listen: Object.fromEntries(listeners.map(name => [name, {host: '127.0.0.1', port: name === taken ? port : 0}])),
		control: [{
			instance: 'control-a', zone: 'prairie-south-a', host: '127.0.0.1', port: 0,
		}],
		dataFolder,
		keys: {peers: secret, sessions: [{id: 'first', key: secret}]},
	});
}

for (const taken of listeners) {
	test(`a port for ${taken} that is taken ends the daemon with code 1 and names it`, async t => {
		t.timeout(60_000);
		const folder = await mkdtemp(path.join(tmpdir(), 'valehitch-port-'));
		t.teardown(async () => rm(folder, {recursive: true, force: true}));
		const holder = createServer().listen(0, '127.0.0.1');
		await once(holder, 'listening');
		t.teardown(() => {
			holder.close();
		});
		const {port} = holder.address() as AddressInfo;
		const file = path.join(folder, 'settings.yaml');
		await writeFile(file, settingsWith(taken, {port, dataFolder: path.join(folder, 'data')}));
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
