import {execFile} from 'node:child_process';
import {
	mkdtemp, readFile, rm, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import test, {type ExecutionContext} from 'ava';
import {seededRandom} from './_seeded-random.js';
import {ManagedProcess} from './managed-process.js';
import {PlatformDeployment} from './platform/platform-deployment.js';
import {stopAfterTest} from './platform/stop-after-test.js';
import {waitUntil} from './wait-until.js';

const preload = new URL('_report-sighup-listener.js', import.meta.url).href;
const program = fileURLToPath(new URL('../../platform/dist/bin/valehitch-platform.js', import.meta.url));
const daemon = fileURLToPath(new URL('../../daemon/dist/bin/valehitchd.js', import.meta.url));
const listenerLine = 'SIGHUP listener added';
const seed = 20_261_206;
const rounds = 6;
/** The longest time from the first line of a program to a signal, in milliseconds; loading it takes about as long. */
const longestDelay = 400;

for (const [name, command] of [['the program', [program]], ['the daemon', [daemon, '--settings', '/nowhere/node.yaml']]] as const) {
	test(`${name} handles SIGHUP before it loads its modules, so that the signal can only end it while the runtime starts`, async t => {
		const errors = await new Promise<string>(resolve => {
			execFile(process.execPath, ['--import', preload, ...command], {env: {...process.env, VALEHITCH_CONFIG: '/nowhere/node.yaml'}}, (_error, _stdout, stderr) => {
				resolve(stderr);
			});
		});
		const [first] = errors.split('\n');
		t.is(first, 'SIGHUP listener added before the modules were loaded');
	});
}

async function startDaemonProcess(t: ExecutionContext): Promise<ManagedProcess> {
	const folder = await mkdtemp(path.join(tmpdir(), 'valehitch-signals-'));
	t.teardown(async () => rm(folder, {recursive: true, force: true}));
	const file = path.join(folder, 'settings.yaml');
	const secret = 'a-secret-of-the-test-0123456789';
	await writeFile(file, JSON.stringify({
		instance: 'control-a',
		region: 'prairie-south',
		zone: 'prairie-south-a',
		roles: ['control', 'entry'],
		listen: Object.fromEntries(['callers', 'backends', 'operators', 'peers'].map(listener => [listener, {host: '127.0.0.1', port: 0}])),
		control: [{
			instance: 'control-a', zone: 'prairie-south-a', host: '127.0.0.1', port: 0,
		}],
		dataFolder: path.join(folder, 'data'),
		keys: {peers: secret, sessions: [{id: 'first', key: secret}]},
	}));
	return new ManagedProcess({
		name: 'daemon', command: [daemon, '--settings', file], logFile: path.join(folder, 'daemon.log'), environment: {NODE_OPTIONS: `--import=${preload}`},
	});
}

async function startProgramProcess(t: ExecutionContext): Promise<ManagedProcess> {
	const deployment = await PlatformDeployment.prepare({controlCount: 1, entryCount: 0, environment: () => ({NODE_OPTIONS: `--import=${preload}`})});
	t.teardown(async () => stopAfterTest(t, deployment));
	return deployment.controls[0]!.process;
}

async function countLines({logFile}: ManagedProcess, text: string): Promise<number> {
	try {
		const log = await readFile(logFile, 'utf8');
		return log.split(text).length - 1;
	} catch {
		return 0;
	}
}

async function waitForLine(managed: ManagedProcess, text: string, times: number): Promise<void> {
	await waitUntil(async () => await countLines(managed, text) >= times || undefined, {description: `"${text}" number ${times}`, timeoutMilliseconds: 30_000});
}

const programs = [
	['the program', startProgramProcess, '"kind":"process-started"', '"kind":"process-stopped"', false],
	['the daemon', startDaemonProcess, '"msg":"instance-started"', '"msg":"instance-stopped"', true],
] as const;

for (const [name, prepare, startedLine, stoppedLine, logsHangup] of programs) {
	test.serial(`${name} goes on after a SIGHUP, and stops in order at a SIGTERM, that comes while it starts`, async t => {
		t.timeout(180_000);
		const managed = await prepare(t);
		t.teardown(async () => managed.kill('SIGKILL'));
		const random = seededRandom(seed);
		for (let round = 1; round <= rounds; round++) {
			const milliseconds = Math.round(random() * longestDelay);
			managed.start();
			await waitForLine(managed, listenerLine, round);
			await delay(milliseconds);
			managed.signal('SIGHUP');
			await delay(Math.round(random() * longestDelay));
			const end = await managed.stop();
			t.deepEqual(end, {code: 0, signal: undefined}, `SIGHUP ${milliseconds} ms after the first line`);
			t.is(await countLines(managed, startedLine), round);
			t.is(await countLines(managed, stoppedLine), round);
			t.is(await countLines(managed, 'SIGHUP has no effect'), logsHangup ? round : 0);
		}
	});
}
