import {execFile} from 'node:child_process';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import test from 'ava';

const preload = new URL('_report-sighup-listener.js', import.meta.url).href;
const program = fileURLToPath(new URL('../../platform/dist/bin/valehitch-platform.js', import.meta.url));

test('the program handles SIGHUP before it loads its modules, so that the signal can only end it while the runtime starts', async t => {
	const errors = await new Promise<string>(resolve => {
		execFile(process.execPath, ['--import', preload, program], {env: {...process.env, VALEHITCH_CONFIG: '/nowhere/node.yaml'}}, (_error, _stdout, stderr) => {
			resolve(stderr);
		});
	});
	const [first] = errors.split('\n');
	t.is(first, 'SIGHUP listener added before the modules were loaded');
});
