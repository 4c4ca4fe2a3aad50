import {seededRandom} from '@valehitch/testing';
import test from 'ava';
import {planNotices} from './plan-notices.js';

test('notices are reproducible from their seed, in order, of both types, and end with the traffic', t => {
	const types = new Set<string>();
	for (let seed = 1; seed <= 50; seed++) {
		const plan = () => planNotices({random: seededRandom(seed * 7919), length: 30_000});
		const notices = plan();
		t.deepEqual(notices, plan());
		t.deepEqual(notices, notices.toSorted((left, right) => left.at - right.at));
		t.true(notices.every(({at, duration}) => duration > 0 && at + duration <= 30_000));
		for (const {notice: {type}} of notices) {
			types.add(type);
		}
	}

	t.deepEqual(types, new Set(['limit', 'pause']));
});
