import test from 'ava';
import {rejectionPause} from './rejection-pause.js';

test('instances that each return after their pause cause no more rejections than the server bears', t => {
	for (const instances of [1, 7, 64]) {
		const pause = rejectionPause({rejectionsPerSecond: 10, instances, random: () => 0});
		t.true(instances * 1000 / pause <= 10);
	}
});

test('a pause is bounded whatever number a server names, and differs at random', t => {
	t.is(rejectionPause({rejectionsPerSecond: 0, instances: 7, random: () => 0}), 10_000);
	t.is(rejectionPause({rejectionsPerSecond: 1e9, instances: 7, random: () => 0}), 250);
	t.is(rejectionPause({rejectionsPerSecond: 1e9, instances: 7, random: () => 1}), 375);
});
