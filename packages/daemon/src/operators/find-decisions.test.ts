import {
	failure, type RequestId, type InstanceId, type ServerId, type WorkspaceId, type ZoneId, toId,
} from '@valehitch/core';
import test from 'ava';
import {Left, Right} from 'purify-ts';
import {findDecisions} from './find-decisions.js';

const request = toId<RequestId>('request-1');
const record = {
	request, workspace: toId<WorkspaceId>('yard'), at: 0, versions: [], attempts: [{
		attempt: 1, purpose: 'first' as const, servers: [], server: toId<ServerId>('engine-1'),
	}],
};
const others = ['entry-b', 'entry-c'].map(instance => ({
	instance: toId<InstanceId>(instance), zone: toId<ZoneId>('zone-a'), host: '127.0.0.1', port: 1,
}));
const noLink = failure('no-quorum', 'Got no link to entry-b, wanted a reply');

test('what this instance holds is told without a question', async t => {
	const found = await findDecisions(request, {own: record, others, ask: async () => t.fail()});
	t.deepEqual(found, Right(record));
});

test('the instance that holds them is found behind one that gives no answer', async t => {
	const found = await findDecisions(request, {
		own: undefined, others, ask: async ({instance}) => instance === 'entry-b' ? Left(noLink) : Right(record),
	});
	t.deepEqual(found, Right(record));
});

test('an instance that gives no answer is told as that, and not as a request that nobody served', async t => {
	const found = await findDecisions(request, {
		own: undefined, others, ask: async ({instance}) => instance === 'entry-b' ? Left(noLink) : Right(undefined),
	});
	t.deepEqual(found, Left(noLink));
});

test('a request that no instance holds is not found', async t => {
	const found = await findDecisions(request, {own: undefined, others, ask: async () => Right(undefined)});
	t.is(found.swap().toMaybe().extractNullable()?.kind, 'not-found');
});
