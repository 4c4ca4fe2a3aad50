import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	mkdtemp, readFile, rm, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import test from 'ava';
import {freePorts} from './free-ports.js';
import {waitUntil} from './wait-until.js';

const root = fileURLToPath(new URL('../../..', import.meta.url));
const anyPort = '127.0.0.1:0';
const requestCount = 200;

/** Records a profile while the program answers requests; returns the line of a function of the gateway if there is one. */
async function profileAtWork(address: string): Promise<string | undefined> {
	const profile = fetch(`${address}/profile?seconds=1`);
	for (let request = 0; request < requestCount; request++) {
		const response = await fetch(`${address}/metrics`);
		await response.text();
	}

	const response = await profile;
	const text = await response.text();
	return text.split('\n').find(line => line.includes(' gateway/'));
}

test('the deploy command starts the bundled program with its precompiled code, and its profile names the modules of the bundle', async t => {
	const [code] = await once(spawn('node', ['deploy/bundle.mjs'], {cwd: root, stdio: 'inherit'}), 'exit') as [number];
	t.is(code, 0);
	const folder = await mkdtemp(path.join(tmpdir(), 'valehitch-deploy-'));
	const settings = path.join(folder, 'node.yaml');
	await writeFile(settings, JSON.stringify({
		node: 'core-1', ip: '127.0.0.1', zone: 'hall-a', listen: {control: anyPort}, portRange: [0, 0], seeds: [anyPort], bootstrap: true, dataDir: folder, heartbeatMs: 1200, bounds: {graceS: 8},
	}));
	const deployFile = await readFile(path.join(root, 'deploy/system.toml'), 'utf8');
	const [, command = ''] = /run = "node (.*) --metrics-port/v.exec(deployFile) ?? [];
	const [port = 0] = await freePorts(1);
	const child = spawn('node', [...command.split(' '), '--metrics-port', String(port)], {cwd: root, env: {...process.env, VALEHITCH_CONFIG: settings}, stdio: ['ignore', 'pipe', 'pipe']});
	t.teardown(async () => {
		child.kill('SIGKILL');
		await rm(folder, {recursive: true, force: true});
	});
	let errors = '';
	child.stderr.setEncoding('utf8').on('data', text => {
		errors += String(text);
	});
	const [lines] = await once(child.stdout.setEncoding('utf8'), 'data') as [string];
	t.regex(lines, /"kind":"process-started"/v);
	t.is(errors, '');
	const named = await waitUntil(async () => profileAtWork(`http://127.0.0.1:${port}`), {description: 'a profile with a module of the bundle', timeoutMilliseconds: 60_000});
	t.regex(named, / gateway\/[\w\/\-]+:\d+$/v);
});
