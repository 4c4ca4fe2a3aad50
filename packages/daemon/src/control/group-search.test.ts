import {type ReplicaSet, toReplicaId} from '@valehitch/consensus';
import {type InstanceId, toId} from '@valehitch/core';
import test from 'ava';
import {Left, Right} from 'purify-ts';
import {searchGroup} from './group-search.js';
import {type JoinReply} from './messages.js';

const [a, b, c] = ['a', 'b', 'c'].map(name => toReplicaId(name, `disk-${name}`)) as [ReturnType<typeof toReplicaId>, ReturnType<typeof toReplicaId>, ReturnType<typeof toReplicaId>];
const control = ['c', 'a', 'b'].map(name => ({instance: toId<InstanceId>(name), host: '127.0.0.1', port: 1}));
const all: ReplicaSet = {voters: [a, c, b], learners: []};
const empty = {
	a: {replica: a, isEmpty: true}, b: {replica: b, isEmpty: true}, c: {replica: c, isEmpty: true},
};

async function search(self: typeof a, replies: Readonly<Record<string, JoinReply>>, isEmpty = true): Promise<ReplicaSet | undefined> {
	return searchGroup({
		self,
		control,
		async ask({instance}) {
			const reply = replies[instance];
			return reply === undefined ? Left('no reply') : Right(reply);
		},
		isEmpty: () => isEmpty,
	});
}

test('the lowest instance founds the group when all are empty, and no other', async t => {
	t.deepEqual(await search(a, empty), all);
	t.is(await search(b, empty), undefined);
	t.is(await search(c, empty), undefined);
});

test('nobody founds a group while one instance does not answer or is not empty', async t => {
	t.is(await search(a, {b: empty.b}), undefined);
	t.is(await search(a, {...empty, c: {replica: c, isEmpty: false}}), undefined);
	t.is(await search(a, empty, false), undefined);
});

test('a replica that the founder counted takes its answer, a wiped one does not', async t => {
	const founder = {replica: a, isEmpty: false, initial: all};
	t.deepEqual(await search(b, {a: founder}), all);
	t.is(await search(toReplicaId('b', 'new-disk'), {a: founder, c: empty.c}), undefined);
});
