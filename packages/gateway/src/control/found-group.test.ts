import {type ReplicaId, toReplicaId} from '@valehitch/consensus';
import {type InstanceId} from '@valehitch/core';
import test from 'ava';
import {foundGroup} from './found-group.js';
import {type JoinReply} from './peer-message.js';

const founders = ['10.0.0.1', '10.0.0.2', '10.0.0.3'] as InstanceId[];
const [one, two, three] = founders.map(founder => toReplicaId(founder, 'a')) as [ReplicaId, ReplicaId, ReplicaId];

function reply(replica: ReplicaId, changes: Partial<JoinReply> = {}): JoinReply {
	return {
		replica, isEmpty: true, initial: undefined, hosts: [], ...changes,
	};
}

const lowest = {
	self: founders[0]!, replica: one, isFounding: true, founders,
};

test('the lowest founder founds once all others say that they are empty', t => {
	t.deepEqual(foundGroup({...lowest, replies: [reply(three), reply(two)]})?.voters, [one, two, three]);
	t.is(foundGroup({...lowest, replies: [reply(two)]}), undefined);
	t.is(foundGroup({...lowest, replies: [reply(two), reply(three, {isEmpty: false})]}), undefined);
});

test('another founder takes the answer of the one that founded, and founds nothing itself', t => {
	const second = {...lowest, self: founders[1]!, replica: two};
	t.is(foundGroup({...second, replies: [reply(one), reply(three)]}), undefined);
	const initial = {voters: [one, two, three], learners: []};
	t.is(foundGroup({...second, replies: [reply(one, {isEmpty: false, initial})]}), initial);
});

test('an instance that starts later, and one that is no founder, wait', t => {
	t.is(foundGroup({...lowest, isFounding: false, replies: [reply(two), reply(three)]}), undefined);
	t.is(foundGroup({
		...lowest, self: '10.0.0.0' as InstanceId, replica: toReplicaId('10.0.0.0', 'a'), replies: [reply(one), reply(two), reply(three)],
	}), undefined);
});
