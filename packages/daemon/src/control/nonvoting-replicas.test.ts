import {toReplicaId} from '@valehitch/consensus';
import test from 'ava';
import {NonvotingReplicas} from './nonvoting-replicas.js';

const learner = toReplicaId('control-b', 'new');
const clock = {now: () => new Date(0), monotonic: () => 0};

test('a learner is eligible for promotion only once it has all bills that were removed from the state of the leader', t => {
	const nonvoters = new NonvotingReplicas({clock, control: ['control-a', 'control-b']});
	nonvoters.recordJoin(learner, 499);
	t.deepEqual(nonvoters.eligible([], 500), [learner], 'it can become a learner without them');
	t.deepEqual(nonvoters.eligible([learner], 500), [], 'it cannot be promoted without them');
	nonvoters.recordJoin(learner, 500);
	t.deepEqual(nonvoters.eligible([learner], 500), [learner]);
});
