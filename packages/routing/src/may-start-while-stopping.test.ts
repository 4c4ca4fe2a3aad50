import test from 'ava';
import {mayStartWhileStopping} from './may-start-while-stopping.js';

const send = {
	deadlineAt: 7000, answersDueAt: 7000, isNotRun: true, now: 100,
};

test('an instance that does not stop sends every request', t => {
	t.true(mayStartWhileStopping({...send, deadlineAt: 90_000, answersDueAt: undefined}));
});

test('a request that has not run is sent only if its whole time limit ends before the instance does', t => {
	t.true(mayStartWhileStopping(send));
	t.false(mayStartWhileStopping({...send, deadlineAt: 7001}));
});

test('a request that may have run is sent again while the instance has time left', t => {
	t.true(mayStartWhileStopping({
		...send, deadlineAt: 90_000, isNotRun: false, now: 6999,
	}));
	t.false(mayStartWhileStopping({
		...send, deadlineAt: 90_000, isNotRun: false, now: 7000,
	}));
});
