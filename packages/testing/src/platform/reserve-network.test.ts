import {createServer} from 'node:net';
import {once} from 'node:events';
import test from 'ava';
import {reserveNetwork, type ReservedNetwork} from './reserve-network.js';

// Two deployments at a time with the same addresses end each other.
test('a network is handed out once until it is given back', async t => {
	const reserved: ReservedNetwork[] = [];
	for (let index = 0; index < 300; index++) {
		reserved.push(await reserveNetwork());
	}

	t.is(new Set(reserved.map(({prefix}) => prefix)).size, reserved.length);
	const {prefix} = reserved[0]!;
	const taken = createServer().listen(8228, `${prefix}.254`);
	await t.throwsAsync(once(taken, 'listening'), {code: 'EADDRINUSE'});
	for (const {release} of reserved) {
		release();
	}

	const free = createServer().listen(8228, `${prefix}.254`);
	await once(free, 'listening');
	free.close();
});
