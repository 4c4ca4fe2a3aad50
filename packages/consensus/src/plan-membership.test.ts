import test from 'ava';
import {createReplica} from './create-replica.js';
import {planMembership} from './plan-membership.js';
import {type ReplicaId, toReplicaId} from './replica-id.js';
import {type FollowerProgress, type ReplicaState} from './replica-state.js';

const one = toReplicaId('one', 'a');
const two = toReplicaId('two', 'a');
const three = toReplicaId('three', 'a');
const four = toReplicaId('four', 'a');
const now = 20_000;

type LeaderOptions = {
	readonly voters?: readonly ReplicaId[];
	readonly learners?: readonly ReplicaId[];
	readonly unresponsive?: readonly ReplicaId[];
	readonly lagging?: readonly ReplicaId[];
};

/** Creates a leader with commit index 9 and the given progress of the other replicas. */
function leader({voters = [one, two, three], learners = [], unresponsive = [], lagging = []}: LeaderOptions): ReplicaState {
	const replicas = {voters, learners};
	const base = createReplica({id: one, replicas, seed: 1}, 0);
	const progress = new Map<ReplicaId, FollowerProgress>();
	for (const replica of [...voters, ...learners]) {
		progress.set(replica, {
			matchIndex: lagging.includes(replica) ? 3 : 9, nextIndex: 10, inFlight: 0, ackedRoundSentAt: unresponsive.includes(replica) ? 1000 : now - 50, isActive: true, snapshotSentAt: undefined,
		});
	}

	return {
		...base, replicas, commitIndex: 9, role: {
			type: 'leader', since: 500, electionMilliseconds: 0, termStartIndex: 1, progress, rounds: [{round: 7, sentAt: now - 50}], roundCommitIndex: 9,
		},
	};
}

function joining(replica: ReplicaId, changes: {isFounding?: boolean; waiting?: number} = {}) {
	return [{
		replica, isFounding: false, waiting: 0, ...changes,
	}];
}

test('a new replica is added as a learner first', t => {
	t.deepEqual(planMembership(leader({}), {joining: joining(four), now}), {type: 'add-learner', replica: four});
	t.is(planMembership(leader({learners: [four], lagging: [four]}), {joining: joining(four, {isFounding: true}), now}), undefined);
});

test('an initial member is promoted once it has caught up, and a later replica only after waiting', t => {
	t.deepEqual(planMembership(leader({learners: [four]}), {joining: joining(four, {isFounding: true}), now}), {type: 'promote', replica: four});
	t.is(planMembership(leader({learners: [four]}), {joining: joining(four), now}), undefined);
	t.deepEqual(planMembership(leader({learners: [four]}), {joining: joining(four, {waiting: 10_000}), now}), {type: 'promote', replica: four});
});

test('an unresponsive voter is removed only when a replacement has caught up', t => {
	const unresponsive = [three];
	t.is(planMembership(leader({learners: [four], unresponsive, lagging: [four]}), {joining: joining(four), now}), undefined);
	t.deepEqual(planMembership(leader({learners: [four], unresponsive}), {joining: joining(four), now}), {type: 'remove', replica: three});
	t.deepEqual(planMembership(leader({voters: [one, two], learners: [four]}), {joining: joining(four), now}), {type: 'promote', replica: four});
});

test('without a replacement an unresponsive voter is removed from four voters but not from three', t => {
	t.is(planMembership(leader({unresponsive: [three]}), {joining: [], now}), undefined);
	t.deepEqual(planMembership(leader({voters: [one, two, three, four], unresponsive: [three]}), {joining: [], now}), {type: 'remove', replica: three});
});

test('a replica whose instance lost its disk is replaced by the new identity', t => {
	const renewed = toReplicaId('three', 'b');
	t.deepEqual(planMembership(leader({unresponsive: [three]}), {joining: joining(renewed), now}), {type: 'add-learner', replica: renewed});
	t.deepEqual(planMembership(leader({learners: [renewed], unresponsive: [three]}), {joining: joining(renewed), now}), {type: 'remove', replica: three});
	t.deepEqual(planMembership(leader({voters: [one, two], learners: [renewed]}), {joining: joining(renewed), now}), {type: 'promote', replica: renewed});
});

test('a replica that is not the leader plans no change', t => {
	t.is(planMembership({...leader({}), role: {type: 'follower'}}, {joining: joining(four), now}), undefined);
});

test('silent voters are kept while the others alone could not lose as many disks as are tolerated', t => {
	const voters = [one, two, three, four, toReplicaId('five', 'a'), toReplicaId('six', 'a')];
	const unresponsive = voters.slice(4);
	const plan = (remaining: readonly ReplicaId[]) => planMembership(leader({voters: remaining, unresponsive}), {joining: [], now, toleratedLosses: 2});
	t.deepEqual(plan(voters), {type: 'remove', replica: unresponsive[0]!});
	t.is(plan(voters.filter(voter => voter !== unresponsive[0])), undefined);
});

test('a replica that comes back is promoted at once while there are too few voters for the tolerated losses', t => {
	const five = toReplicaId('five', 'a');
	t.deepEqual(planMembership(leader({voters: [one, two, three, four], learners: [five]}), {joining: joining(five), now, toleratedLosses: 2}), {type: 'promote', replica: five});
});
