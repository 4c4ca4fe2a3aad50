import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import test from 'ava';
import {catchesSignal} from './catches-signal.js';

/** Starts a Node.js program and waits for its first output. */
async function startProgram(code: string) {
	const child = spawn(process.execPath, ['-e', `${code}; console.log('started'); setInterval(() => {}, 1000)`], {stdio: ['ignore', 'pipe', 'inherit']});
	await once(child.stdout, 'data');
	return child;
}

test('catchesSignal is true for a process with a listener, and false for one without or one that has exited', async t => {
	const listening = await startProgram('process.on("SIGHUP", () => {})');
	const plain = await startProgram('');
	t.teardown(() => {
		plain.kill('SIGKILL');
	});
	const {pid} = listening;
	t.true(await catchesSignal(pid!, 'SIGHUP'));
	t.false(await catchesSignal(pid!, 'SIGUSR2'));
	t.false(await catchesSignal(plain.pid!, 'SIGHUP'));

	listening.kill('SIGKILL');
	await once(listening, 'exit');
	t.false(await catchesSignal(pid!, 'SIGHUP'));
});
