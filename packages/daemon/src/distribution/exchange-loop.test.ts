import {setTimeout as delay} from 'node:timers/promises';
import {
	failure, type InstanceId, toId, toRevision,
} from '@valehitch/core';
import {type DigestMessage} from '@valehitch/membership';
import {type PeerAddress} from '@valehitch/transport';
import test from 'ava';
import {Left, Right} from 'purify-ts';
import {encodeReply} from './exchange-codec.js';
import {ExchangeLoop} from './exchange-loop.js';

const periodMilliseconds = 5;
const [first, second] = ['first', 'second'].map((name): PeerAddress => ({
	instance: toId<InstanceId>(name), host: '127.0.0.1', port: 9,
}));
const records: DigestMessage<never> = {
	incarnation: 1, since: 0, change: 0, held: [0, 0], records: [],
};
const parts = {revision: toRevision(0), records};

test('an instance that was avoided because it did not reply is tried again after evidence that it is alive', async t => {
	const asked: InstanceId[] = [];
	const waitForLast = async (instance: InstanceId): Promise<void> => {
		const seen = asked.length;
		while (asked.length === seen || asked.at(-1) !== instance) {
			await delay(periodMilliseconds);
		}
	};

	let isFirstSilent = true;
	const loop = new ExchangeLoop({
		// The clock does not advance, so the avoidance period cannot expire.
		clock: {now: () => new Date(0), monotonic: () => 0},
		network: {
			async request({instance}) {
				asked.push(instance);
				return instance === first!.instance && isFirstSilent ? Left(failure('no-quorum', 'No reply')) : Right(encodeReply(parts));
			},
		},
		node: {
			begin: () => ({
				exchange: {
					...parts, question: {
						instance: toId<InstanceId>('child'), incarnation: 1, number: 1, confirmed: [],
					},
				},
				sentAt: 0,
			}),
			finish: () => true,
			isSettled: () => true,
		},
		periodMilliseconds,
		candidates: () => [first!, second!],
		isLeaseValid: () => true,
		onReply() {
			isFirstSilent = false;
		},
		onNoReply(instance) {
			t.is(instance, first!.instance);
		},
		onError(error) {
			t.fail(`Unexpected error: ${String(error)}`);
		},
	});
	t.teardown(() => {
		loop.stop();
	});
	loop.start();
	await waitForLast(second!.instance);
	await waitForLast(second!.instance);
	t.is(asked.filter(instance => instance === first!.instance).length, 1);
	loop.markAlive([first!.instance]);
	await waitForLast(first!.instance);
	t.is(asked.at(-1), first!.instance);
});
