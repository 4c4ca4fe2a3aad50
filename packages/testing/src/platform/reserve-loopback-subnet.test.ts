import {createServer} from 'node:net';
import {once} from 'node:events';
import test from 'ava';
import {reserveLoopbackSubnet, type ReservedSubnet} from './reserve-loopback-subnet.js';

// Two deployments that run at the same time with the same addresses make each other fail.
test('a reserved subnet is not reserved again until it is released', async t => {
	const reserved: ReservedSubnet[] = [];
	for (let index = 0; index < 300; index++) {
		reserved.push(await reserveLoopbackSubnet());
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
