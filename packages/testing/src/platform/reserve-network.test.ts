import {createServer} from 'node:net';
import {once} from 'node:events';
import test from 'ava';
import {reserveNetwork, type ReservedNetwork} from './reserve-network.js';

// Two deployments that run at the same time with the same addresses make each other fail.
test('a reserved subnet is not reserved again until it is released', async t => {
	const reserved: ReservedNetwork[] = [];
	for (let index = 0; index < 300; index++) {
		reserved.push(await reserveNetwork());
	}

	t.is(new Set(reserved.map(({prefix}) => prefix)).size, reserved.length);
	const {prefix} = reserved[0]!;
	const conflicting = createServer().listen(8228, `${prefix}.254`);
	await t.throwsAsync(once(conflicting, 'listening'), {code: 'EADDRINUSE'});
	for (const {release} of reserved) {
		release();
	}

	const released = createServer().listen(8228, `${prefix}.254`);
	await once(released, 'listening');
	released.close();
});
