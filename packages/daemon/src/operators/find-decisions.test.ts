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
const unreachable = failure('no-quorum', 'No connection to entry-b');

test('a local record is returned without querying other instances', async t => {
	const found = await findDecisions(request, {local: record, others, ask: async () => t.fail()});
	t.deepEqual(found, Right(record));
});

test('a record is found although another instance is unreachable', async t => {
	const found = await findDecisions(request, {
		local: undefined, others, ask: async ({instance}) => instance === 'entry-b' ? Left(unreachable) : Right(record),
	});
	t.deepEqual(found, Right(record));
});

test('an unreachable instance results in its failure, not in not-found', async t => {
	const found = await findDecisions(request, {
		local: undefined, others, ask: async ({instance}) => instance === 'entry-b' ? Left(unreachable) : Right(undefined),
	});
	t.deepEqual(found, Left(unreachable));
});

test('a request without a record on any instance is not found', async t => {
	const found = await findDecisions(request, {local: undefined, others, ask: async () => Right(undefined)});
	t.is(found.swap().toMaybe().extractNullable()?.kind, 'not-found');
});
