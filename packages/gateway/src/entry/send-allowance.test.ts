import {type ServiceId} from '@valehitch/core';
import {WindowedRetryBudget} from '@valehitch/routing';
import test from 'ava';
import {SendAllowance} from './send-allowance.js';

const clock = {monotonic: () => 0};
const restore = (): void => undefined;
const service = 'summaries' as ServiceId;

test('a route limits the number of sends, and failed connections do not count', t => {
	const allowance = new SendAllowance({
		route: {kind: 'safe', isResumable: false, maximumAttempts: 2}, service, budget: {allows: () => true, withdraw: () => true, restore}, clock,
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
		route: {kind: 'streaming', isResumable: false, maximumAttempts: 9}, service, budget: {allows: () => false, withdraw: () => false, restore}, clock,
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
		route: {kind: 'safe', isResumable: false, maximumAttempts}, service, budget: {allows: () => isAllowed, withdraw: () => isAllowed, restore}, clock,
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

/** The number of retries that a shared budget of `total` retries has left after the given use by one request. */
function countLeft(total: number, use: (allowance: SendAllowance) => void): number {
	const budget = new WindowedRetryBudget({ratio: 0, minimumPerWindow: total});
	use(new SendAllowance({
		route: {kind: 'safe', isResumable: false, maximumAttempts: 9}, service, budget, clock,
	}));
	return Array.from({length: 2 * total}, () => budget.withdraw(service, 0)).filter(Boolean).length;
}

test('retries that are withdrawn without a send are restored once, and those of sends stay charged', t => {
	const total = 4;
	t.is(countLeft(total, allowance => {
		allowance.restoreUnused();
	}), total);
	t.is(countLeft(total, allowance => {
		allowance.countSend();
		allowance.tryRetry();
		allowance.restoreUnused();
		allowance.restoreUnused();
	}), total);
	t.is(countLeft(total, allowance => {
		allowance.countSend();
		allowance.tryRetry();
		allowance.countSend();
		allowance.tryRetry();
		allowance.restoreUnused();
		allowance.restoreUnused();
	}), total - 1);
});

test('retries of sends that reach no server are restored', t => {
	const total = 4;
	for (const takeBack of ['revokeSend', 'cancelSend'] as const) {
		t.is(countLeft(total, allowance => {
			allowance.countSend();
			allowance.tryRetry();
			allowance.countSend();
			allowance[takeBack]();
			allowance.restoreUnused();
		}), total);
	}
});
