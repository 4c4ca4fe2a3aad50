import {toReplicaId} from '@valehitch/consensus';
import test from 'ava';
import {Candidates} from './candidates.js';

const learner = toReplicaId('control-b', 'new');
const clock = {now: () => new Date(0), monotonic: () => 0};

test('a learner counts as ready only once it has every bill that left the leader\'s state', t => {
	const candidates = new Candidates({clock, control: ['control-a', 'control-b']});
	candidates.note(learner, 499);
	t.deepEqual(candidates.ready([], 500), [learner], 'it is taken in as a learner without them');
	t.deepEqual(candidates.ready([learner], 500), [], 'it is not promoted without them');
	candidates.note(learner, 500);
	t.deepEqual(candidates.ready([learner], 500), [learner]);
});
