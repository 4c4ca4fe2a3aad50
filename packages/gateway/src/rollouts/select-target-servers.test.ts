import {type ServerId} from '@valehitch/core';
import test from 'ava';
import {selectTargetServers} from './select-target-servers.js';

const servers = Array.from({length: 13}, (_, index) => `server-${index}` as ServerId);

test('the selected part of the servers is as large as the share of the requests, and at least one', t => {
	t.is(selectTargetServers(servers, 0.144).size, 2);
	t.is(selectTargetServers(servers, 0.01).size, 1);
	t.is(selectTargetServers(servers, 1).size, 13);
	t.is(selectTargetServers([], 0.5).size, 0);
});

test('the selection does not depend on the order of the servers, and a larger share only adds servers', t => {
	const few = selectTargetServers(servers, 0.2);
	t.deepEqual(selectTargetServers(servers.toReversed(), 0.2), few);
	const more = selectTargetServers(servers, 0.6);
	t.true([...few].every(server => more.has(server)));
});
