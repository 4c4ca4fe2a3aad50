import test from 'ava';
import {CodeLocator} from './code-locator.js';

const bundle = '/opt/valehitch/target/valehitch-platform.cjs';
const modules = {
	sources: ['../node_modules/ws/lib/receiver.js', '../packages/gateway/src/entry/relay-stream.ts', '../packages/routing/src/server-choice.ts'],
	places: [[0, 10, 0, 0], [0, 50, 1, 7], [0, 90, 1, 9], [2, 0, 2, 4]] as const,
};

function locate(url: string, [lineNumber, columnNumber]: readonly [number, number] = [0, 0]) {
	const locator = new CodeLocator(script => script === bundle ? modules : undefined);
	return locator.locate({
		functionName: 'f', url, lineNumber, columnNumber,
	});
}

test('modules are found by the file of the script, wherever the workspace lies', t => {
	t.deepEqual(locate('file:///work/packages/gateway/dist/entry/relay-stream.js', [3, 0]), {module: 'gateway/entry/relay-stream', line: 4});
	t.deepEqual(locate('/work/node_modules/ws/lib/receiver.js', [3, 0]), {module: 'ws/lib/receiver.js', line: 4});
	t.deepEqual(locate('node:net', [7, 1]), {module: 'node:net', line: 8});
	t.deepEqual(locate('', [-1, -1]), {module: '', line: undefined});
});

test('modules of a bundle are found by position, in the file whose line begins last before it', t => {
	t.deepEqual(locate(bundle, [0, 10]), {module: 'ws/lib/receiver.js', line: 1});
	t.deepEqual(locate(bundle, [0, 89]), {module: 'gateway/entry/relay-stream', line: 8});
	t.deepEqual(locate(`file://${bundle}`, [1, 0]), {module: 'gateway/entry/relay-stream', line: 10});
	t.deepEqual(locate(bundle, [2, 5000]), {module: 'routing/server-choice', line: 5});
	t.deepEqual(locate(bundle, [0, 9]), {module: bundle, line: 1});
});

test('a script without a list of modules is named as it is', t => {
	t.deepEqual(locate('/opt/other.cjs', [1, 2]), {module: '/opt/other.cjs', line: 2});
	t.deepEqual(new CodeLocator().locate({
		functionName: 'f', url: '/nowhere/other.cjs', lineNumber: 1, columnNumber: 2,
	}), {module: '/nowhere/other.cjs', line: 2});
});
