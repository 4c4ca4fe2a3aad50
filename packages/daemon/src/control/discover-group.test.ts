import {type ReplicaSet, toReplicaId} from '@valehitch/consensus';
import {type InstanceId, toId} from '@valehitch/core';
import test from 'ava';
import {Left, Right} from 'purify-ts';
import {discoverGroup} from './discover-group.js';
import {type JoinReply} from './messages.js';

const [a, b, c] = ['a', 'b', 'c'].map(name => toReplicaId(name, `disk-${name}`)) as [ReturnType<typeof toReplicaId>, ReturnType<typeof toReplicaId>, ReturnType<typeof toReplicaId>];
const control = ['c', 'a', 'b'].map(name => ({instance: toId<InstanceId>(name), host: '127.0.0.1', port: 1}));
const all: ReplicaSet = {voters: [a, c, b], learners: []};
const empty = {
	a: {replica: a, isEmpty: true}, b: {replica: b, isEmpty: true}, c: {replica: c, isEmpty: true},
};

async function discover(self: typeof a, replies: Readonly<Record<string, JoinReply>>, isEmpty = true): Promise<ReplicaSet | undefined> {
	return discoverGroup({
		self,
		control,
		async ask({instance}) {
			const reply = replies[instance];
			return reply === undefined ? Left('no reply') : Right(reply);
		},
		isEmpty: () => isEmpty,
	});
}

test('only the instance with the lowest name bootstraps the group, if all instances are empty', async t => {
	t.deepEqual(await discover(a, empty), all);
	t.is(await discover(b, empty), undefined);
	t.is(await discover(c, empty), undefined);
});

test('no instance bootstraps a group while one does not reply or is not empty', async t => {
	t.is(await discover(a, {b: empty.b}), undefined);
	t.is(await discover(a, {...empty, c: {replica: c, isEmpty: false}}), undefined);
	t.is(await discover(a, empty, false), undefined);
});

test('a replica in the initial set adopts that set; a replica with a wiped disk does not', async t => {
	const bootstrapped = {replica: a, isEmpty: false, initial: all};
	t.deepEqual(await discover(b, {a: bootstrapped}), all);
	t.is(await discover(toReplicaId('b', 'new-disk'), {a: bootstrapped, c: empty.c}), undefined);
});
