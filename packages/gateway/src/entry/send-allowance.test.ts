import {type ServiceId} from '@valehitch/core';
import test from 'ava';
import {SendAllowance} from './send-allowance.js';

const clock = {monotonic: () => 0};
const service = 'summaries' as ServiceId;

test('a route limits the number of sends, and failed connections do not count', t => {
	const allowance = new SendAllowance({
		route: {kind: 'safe', isResumable: false, maximumAttempts: 2}, service, budget: {allows: () => true, withdraw: () => true}, clock,
	});
	t.true(allowance.mayRepeat);
	t.false(allowance.isNextLast);
	allowance.begin();
	t.true(allowance.takeBack());
	allowance.begin();
	t.true(allowance.isNextLast);
	t.true(allowance.takeFurther());
	allowance.begin();
	t.false(allowance.takeFurther());
	t.deepEqual([allowance.sends, allowance.unreachable], [2, 1]);
});

test('no retry is allowed beyond the shared budget or the maximum of failed connections', t => {
	const allowance = new SendAllowance({
		route: {kind: 'streaming', isResumable: false, maximumAttempts: 9}, service, budget: {allows: () => false, withdraw: () => false}, clock,
	});
	t.false(allowance.mayRepeat);
	const tries: boolean[] = [];
	for (let index = 0; index < 4; index++) {
		allowance.begin();
		tries.push(allowance.takeBack());
	}

	t.deepEqual(tries, [true, true, true, false]);
	t.false(allowance.takeFurther());
});
