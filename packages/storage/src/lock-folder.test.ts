import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout} from 'node:timers/promises';
import test from 'ava';
import {openDataFolder} from './mod.js';

test('a data folder can be open only once across processes, and a killed process leaves no stale lock', async t => {
	const folder = await mkdtemp(path.join(tmpdir(), 'valehitch-lock-'));
	t.teardown(async () => rm(folder, {recursive: true}));
	const moduleUrl = new URL('mod.js', import.meta.url).href;
	const script = `const {openDataFolder} = await import(${JSON.stringify(moduleUrl)});
const opened = await openDataFolder(${JSON.stringify(folder)}); 
console.log(opened.isRight()); setInterval(() => {}, 1000);`;
	const holder = spawn(process.execPath, ['--input-type=module', '--eval', script], {stdio: ['ignore', 'pipe', 'inherit']});
	const [output] = await once(holder.stdout, 'data') as [Uint8Array];
	t.regex(String(output), /true/v);

	const refused = await openDataFolder(folder);
	t.regex(refused.swap().unsafeCoerce().message, /is already open in another process/v);
	holder.kill('SIGKILL');
	await once(holder, 'exit');

	let opened = await openDataFolder(folder);
	for (let tries = 0; opened.isLeft() && tries < 200; tries++) {
		await setTimeout(50);
		opened = await openDataFolder(folder);
	}

	const held = opened.unsafeCoerce();
	const second = await openDataFolder(folder);
	t.true(second.isLeft());
	await held.close();
	const again = await openDataFolder(folder);
	await again.unsafeCoerce().close();
});
