import {execFile} from 'node:child_process';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import test from 'ava';

const preload = new URL('_note-listener.js', import.meta.url).href;
const program = fileURLToPath(new URL('../../platform/dist/bin/valehitch-platform.js', import.meta.url));

test('the program listens to SIGHUP before it loads its parts, so that the signal ends it in the start of the runtime only', async t => {
	const errors = await new Promise<string>(resolve => {
		execFile(process.execPath, ['--import', preload, program], {env: {...process.env, VALEHITCH_CONFIG: '/nowhere/node.yaml'}}, (_error, _stdout, stderr) => {
			resolve(stderr);
		});
	});
	const [first] = errors.split('\n');
	t.is(first, 'listens before its parts');
});
