import {type ServerId} from '@valehitch/core';
import test from 'ava';
import {testServer} from './_test-server.js';
import {ServerAddresses} from './server-addresses.js';

test('servers are found by host and port', t => {
	const addresses = new ServerAddresses();
	const other = testServer({id: 'server-2' as ServerId});
	addresses.add(testServer());
	addresses.add(other);
	t.deepEqual(addresses.at(other), [testServer().id, other.id]);
	t.deepEqual(addresses.at({...other, port: 10}), []);
	addresses.remove(testServer());
	t.deepEqual(addresses.at(other), [other.id]);
	addresses.remove(other);
	addresses.remove(other);
	t.deepEqual(addresses.at(other), []);
});

test('a server that moved is found at its current address only', t => {
	const addresses = new ServerAddresses();
	const moved = testServer({port: 10});
	addresses.replace(undefined, testServer());
	addresses.replace(testServer(), testServer());
	t.deepEqual(addresses.at(testServer()), [testServer().id]);
	addresses.replace(testServer(), moved);
	t.deepEqual([addresses.at(testServer()), addresses.at(moved)], [[], [moved.id]]);
});
