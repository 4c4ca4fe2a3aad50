import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import test from 'ava';
import {catchesSignal} from './catches-signal.js';

/** Starts a program, and waits for its first output. */
async function startProgram(text: string) {
	const child = spawn(process.execPath, ['-e', `${text}; console.log('started'); setInterval(() => {}, 1000)`], {stdio: ['ignore', 'pipe', 'inherit']});
	await once(child.stdout, 'data');
	return child;
}

test('a signal is caught by a process with a listener, not by one without, and not by one that has ended', async t => {
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
