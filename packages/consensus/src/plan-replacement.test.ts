import test from 'ava';
import {createReplica} from './create-replica.js';
import {planReplacement} from './plan-replacement.js';
import {type ReplicaChange} from './replica-event.js';
import {type ReplicaId, toReplicaId} from './replica-id.js';
import {type ReplicaMessage} from './replica-message.js';
import {type ReplicaState} from './replica-state.js';
import {step} from './replica.js';

const leader = toReplicaId('a', '0');
const other = toReplicaId('b', '0');
const lost = toReplicaId('c', '0');
const fresh = toReplicaId('c', '1');
const present = [leader, other, fresh];
const now = 5000;

function received(state: ReplicaState, from: ReplicaId, message: ReplicaMessage): ReplicaState {
	return step(state, {type: 'message', from, message}, now).state;
}

function acknowledged(state: ReplicaState, from: ReplicaId, matchIndex: number): ReplicaState {
	return received(state, from, {
		type: 'append-reply', term: 1, success: true, matchIndex, round: 1,
	});
}

function elected(): ReplicaState {
	const replicas = {voters: [leader, other, lost], learners: []};
	let {state} = step(createReplica({id: leader, replicas, seed: 1}, 0), {type: 'tick'}, now);
	for (const isPreVote of [true, false]) {
		state = received(state, other, {
			type: 'vote-reply', term: 1, isPreVote, granted: true,
		});
	}

	return state;
}

function changed(state: ReplicaState, change: ReplicaChange): ReplicaState {
	return step(state, {type: 'change-replicas', change}, now).state;
}

test('a replacement adds, waits until caught up, removes and promotes', t => {
	let state = acknowledged(elected(), other, 1);
	t.deepEqual(planReplacement(state, {present}), {type: 'add-learner', replica: fresh});
	state = changed(state, {type: 'add-learner', replica: fresh});
	t.is(planReplacement(state, {present}), undefined, 'the change is not committed');
	state = acknowledged(state, other, 2);
	t.is(planReplacement(state, {present}), undefined, 'the learner holds nothing');
	t.deepEqual(changed(state, {type: 'promote', replica: fresh}).replicas?.learners, [fresh], 'a learner behind is not promoted');
	state = acknowledged(state, fresh, 2);
	t.deepEqual(planReplacement(state, {present}), {type: 'remove', replica: lost});
	state = acknowledged(changed(state, {type: 'remove', replica: lost}), other, 3);
	t.deepEqual(planReplacement(state, {present}), {type: 'promote', replica: fresh});
	state = acknowledged(changed(state, {type: 'promote', replica: fresh}), other, 4);
	t.deepEqual(state.replicas, {voters: [leader, other, fresh], learners: []});
	t.is(planReplacement(state, {present}), undefined);
});
