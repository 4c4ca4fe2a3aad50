import {readdirSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import test from 'ava';
import {groupOfCall, groupOfModule} from './profile-groups.js';

const packages = fileURLToPath(new URL('../../../', import.meta.url));

test('every module of the packages that the program consists of has a group', t => {
	for (const name of ['consensus', 'core', 'gateway', 'platform', 'replication', 'routing', 'settings', 'storage', 'transport']) {
		const files = readdirSync(`${packages}${name}/src`, {recursive: true, encoding: 'utf8'}).filter(file => file.endsWith('.ts'));
		t.true(files.length > 0);
		for (const file of files) {
			t.not(groupOfModule(`${name}/${file.replace(/\.ts$/v, '')}`), undefined, `${name}/${file}`);
		}
	}
});

test('modules of libraries and of the runtime have no group', t => {
	for (const module of ['node:internal/timers', 'ws/lib/receiver', '']) {
		t.is(groupOfModule(module), undefined);
	}
});

test('time in a library counts for its caller, and time in a connection for the kind of message it carries', t => {
	t.is(groupOfCall(undefined, 'decisions'), 'decisions');
	t.is(groupOfCall('forwarding', 'decisions'), 'forwarding');
	const connection = groupOfModule('transport/peer-network');
	const loads = groupOfModule('gateway/entry/load-exchange');
	t.is(groupOfCall(connection, loads), loads);
	t.is(groupOfCall(connection, 'forwarding'), connection);
	t.is(groupOfCall(loads, connection), loads);
	t.is(groupOfCall(undefined, undefined), undefined);
});
