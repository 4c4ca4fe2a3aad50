import {
	failure, type InstanceId, type Micros, type RequestId, toId, type WorkspaceId, type ZoneId,
} from '@valehitch/core';
import test from 'ava';
import {Left, Right} from 'purify-ts';
import {type Member} from '../../member.js';
import {BillStore} from './bill-store.js';
import {LedgerOutbox} from './ledger-outbox.js';

const self: Member = {
	instance: toId<InstanceId>('a'), zone: toId<ZoneId>('zone-a'), host: '127.0.0.1', port: 1,
};

test('a bill without a copy on another instance is sent to the ledger without the batching delay', async t => {
	const outbox = new LedgerOutbox({
		propose: async () => Right({revision: 0, recorded: 0, expired: []}),
		async wait() {
			await new Promise(() => {
				// The batching delay never ends.
			});
		},
	});
	const keeper = new BillStore({
		self,
		runId: 'a',
		startedAt: 0,
		clock: {now: () => new Date(0), monotonic: () => 0},
		outbox,
		members: () => [self],
		request: async () => Left(failure('no-quorum', 'No reply')),
	});
	const request = toId<RequestId>('r1');
	const workspace = toId<WorkspaceId>('yard');
	await keeper.open({workspace, request, openedAt: 0});
	await keeper.settle({
		workspace, request, instance: toId<InstanceId>('a'), lines: [], total: 0 as Micros, outcome: 'answered', settledAt: 0,
	});
	t.is(keeper.size, 0);
});
