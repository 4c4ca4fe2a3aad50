import test from 'ava';
import {createReplica} from './create-replica.js';
import {planReplacement} from './plan-replacement.js';
import {type ReplicaChange} from './replica-event.js';
import {type ReplicaId, toReplicaId} from './replica-id.js';
import {type ReplicaMessage} from './replica-message.js';
import {type ReplicaState} from './replica-state.js';
import {step} from './step.js';

const leader = toReplicaId('a', '0');
const other = toReplicaId('b', '0');
const oldReplica = toReplicaId('c', '0');
const newReplica = toReplicaId('c', '1');
const activeReplicas = [leader, other, newReplica];
const now = 5000;

function receive(state: ReplicaState, from: ReplicaId, message: ReplicaMessage): ReplicaState {
	return step(state, {type: 'message', from, message}, now).state;
}

function acknowledge(state: ReplicaState, from: ReplicaId, matchIndex: number): ReplicaState {
	return receive(state, from, {
		type: 'append-reply', term: 1, success: true, matchIndex, round: 1,
	});
}

function electLeader(): ReplicaState {
	const replicas = {voters: [leader, other, oldReplica], learners: []};
	let {state} = step(createReplica({id: leader, replicas, seed: 1}, 0), {type: 'tick'}, now);
	for (const isPreVote of [true, false]) {
		state = receive(state, other, {
			type: 'vote-reply', term: 1, isPreVote, granted: true,
		});
	}

	return state;
}

function changeReplicas(state: ReplicaState, change: ReplicaChange): ReplicaState {
	return step(state, {type: 'change-replicas', change}, now).state;
}

test('a replacement adds the new replica as a learner, waits until it has caught up, removes the old one and promotes the new one', t => {
	let state = acknowledge(electLeader(), other, 1);
	t.deepEqual(planReplacement(state, {active: activeReplicas}), {type: 'add-learner', replica: newReplica});
	state = changeReplicas(state, {type: 'add-learner', replica: newReplica});
	t.is(planReplacement(state, {active: activeReplicas}), undefined, 'the change is not committed');
	state = acknowledge(state, other, 2);
	t.is(planReplacement(state, {active: activeReplicas}), undefined, 'the learner has no entries');
	t.deepEqual(changeReplicas(state, {type: 'promote', replica: newReplica}).replicas?.learners, [newReplica], 'a lagging learner is not promoted');
	state = acknowledge(state, newReplica, 2);
	t.deepEqual(planReplacement(state, {active: activeReplicas}), {type: 'remove', replica: oldReplica});
	state = acknowledge(changeReplicas(state, {type: 'remove', replica: oldReplica}), other, 3);
	t.deepEqual(planReplacement(state, {active: activeReplicas}), {type: 'promote', replica: newReplica});
	state = acknowledge(changeReplicas(state, {type: 'promote', replica: newReplica}), other, 4);
	t.deepEqual(state.replicas, {voters: [leader, other, newReplica], learners: []});
	t.is(planReplacement(state, {active: activeReplicas}), undefined);
});
