import {type ReplicaId, toReplicaId} from '@valehitch/consensus';
import {type InstanceId} from '@valehitch/core';
import test from 'ava';
import {bootstrapReplicaSet, type BootstrapReplicaSetOptions} from './bootstrap-replica-set.js';
import {type JoinReply} from './peer-message.js';

const founders = ['10.0.0.1', '10.0.0.2', '10.0.0.3'] as InstanceId[];
const [one, two, three] = founders.map(founder => toReplicaId(founder, 'a')) as [ReplicaId, ReplicaId, ReplicaId];

function reply(replica: ReplicaId, changes: Partial<JoinReply> = {}): JoinReply {
	return {
		replica, isEmpty: true, initial: undefined, hosts: [], ...changes,
	};
}

const first: Omit<BootstrapReplicaSetOptions, 'replies'> = {
	self: founders[0]!, replica: one, isFounding: true, mayStandIn: true, initialMembers: founders,
};

test('the lowest initial member bootstraps the group once all others have replied that they are empty', t => {
	t.deepEqual(bootstrapReplicaSet({...first, replies: [reply(three), reply(two)]})?.voters, [one, two, three]);
	t.is(bootstrapReplicaSet({...first, replies: [reply(two)]}), undefined);
	t.is(bootstrapReplicaSet({...first, replies: [reply(two), reply(three, {isEmpty: false})]}), undefined);
});

test('another initial member adopts the reported replica set, and bootstraps nothing itself', t => {
	const second = {...first, self: founders[1]!, replica: two};
	t.is(bootstrapReplicaSet({...second, replies: [reply(one), reply(three)]}), undefined);
	const initial = {voters: [one, two, three], learners: []};
	t.is(bootstrapReplicaSet({...second, replies: [reply(one, {isEmpty: false, initial})]}), initial);
});

test('an instance that starts later and one that is not an initial member wait', t => {
	t.is(bootstrapReplicaSet({...first, isFounding: false, replies: [reply(two), reply(three)]}), undefined);
	t.is(bootstrapReplicaSet({
		...first, self: '10.0.0.0' as InstanceId, replica: toReplicaId('10.0.0.0', 'a'), replies: [reply(one), reply(two), reply(three)],
	}), undefined);
});

test('the next member takes the place of the lowest one, which was started again before the group was there', t => {
	const second = {...first, self: founders[1]!, replica: two};
	const restarted = reply(one, {isFounding: false});
	t.deepEqual(bootstrapReplicaSet({...second, replies: [restarted, reply(three, {isFounding: true})]})?.voters, [two, one, three]);
	t.is(bootstrapReplicaSet({
		...first, self: founders[2]!, replica: three, replies: [restarted, reply(two, {isFounding: true})],
	}), undefined);
	t.is(bootstrapReplicaSet({...second, mayStandIn: false, replies: [restarted, reply(three)]}), undefined);
	t.is(bootstrapReplicaSet({...second, replies: [restarted]}), undefined);
});

test('no group is bootstrapped beside one to which any instance belongs', t => {
	const member = reply(toReplicaId('10.0.0.9', 'a'), {isEmpty: false});
	t.is(bootstrapReplicaSet({...first, replies: [reply(two), reply(three), member]}), undefined);
});
