import {createServer} from 'node:net';
import {once} from 'node:events';
import test from 'ava';
import {reserveNetwork, type ReservedNetwork} from './reserve-network.js';

/*
What was seen, once in CI: a soak ended before its verdict and printed nothing.
Its processes stood at addresses that followed from its process id; another deployment that ran at the time had the same ones, and a proxy could not listen.
Evidence: with one address of a soak taken before its start it prints nothing, and 'listen EADDRINUSE' on its standard error.
*/
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
