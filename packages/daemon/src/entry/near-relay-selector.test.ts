import {type InstanceId} from '@valehitch/core';
import test from 'ava';
import {NearRelaySelector} from './near-relay-selector.js';

const [near, far] = ['entry-a', 'entry-b'] as InstanceId[];
const candidates = [far!, near!];

test('daemons of the own availability zone go first, and others only while those cannot be used', t => {
	const selector = new NearRelaySelector({random: () => 0, isNear: instance => instance === near});
	const choose = (now: number, excluded: readonly InstanceId[] = []) => selector.choose({candidates, excluded: new Set(excluded), now});
	t.is(choose(0), near);
	t.is(choose(0, [near!]), far);
	selector.recordFailure(near!, 0);
	t.is(choose(1), far);
	t.is(choose(10_000), near);
	const end = selector.recordOpened(near!, {now: 10_000, told: undefined});
	t.is(choose(10_000), near);
	end();
});
