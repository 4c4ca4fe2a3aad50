import {type ServiceId} from '@valehitch/core';
import test from 'ava';
import {SendAllowance} from './send-allowance.js';

const clock = {monotonic: () => 0};
const service = 'summaries' as ServiceId;

test('a route limits the number of sends, and failed connections do not count', t => {
	const allowance = new SendAllowance({
		route: {kind: 'safe', isResumable: false, maximumAttempts: 2}, service, budget: {allows: () => true, withdraw: () => true}, clock,
	});
	t.true(allowance.isRepeatable);
	t.false(allowance.isNextSendLast);
	allowance.countSend();
	t.true(allowance.revokeSend());
	allowance.countSend();
	t.true(allowance.isNextSendLast);
	t.true(allowance.tryRetry());
	allowance.countSend();
	t.false(allowance.tryRetry());
	t.deepEqual([allowance.sends, allowance.connectionFailures], [2, 1]);
});

test('no retry is allowed beyond the shared budget or the maximum of failed connections', t => {
	const allowance = new SendAllowance({
		route: {kind: 'streaming', isResumable: false, maximumAttempts: 9}, service, budget: {allows: () => false, withdraw: () => false}, clock,
	});
	t.false(allowance.isRepeatable);
	const tries: boolean[] = [];
	for (let index = 0; index < 4; index++) {
		allowance.countSend();
		tries.push(allowance.revokeSend());
	}

	t.deepEqual(tries, [true, true, true, false]);
	t.false(allowance.tryRetry());
});

test('a kept connection is used only where its loss can be retried, and not again after a failed send', t => {
	const create = (maximumAttempts: number, isAllowed = true): SendAllowance => new SendAllowance({
		route: {kind: 'safe', isResumable: false, maximumAttempts}, service, budget: {allows: () => isAllowed, withdraw: () => isAllowed}, clock,
	});
	t.false(create(1).mayUseKeptConnection);
	t.false(create(3, false).mayUseKeptConnection);
	const allowance = create(3);
	t.true(allowance.mayUseKeptConnection);
	allowance.countSend();
	t.true(allowance.mayUseKeptConnection);
	allowance.requireNewConnections();
	t.false(allowance.mayUseKeptConnection);
});
