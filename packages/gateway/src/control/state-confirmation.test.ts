import test from 'ava';
import {type ControlReplica} from './control-replica.js';
import {StateConfirmation} from './state-confirmation.js';

/** Starts a confirmation with a replica that has applied entries up to an index, and a leader that reports a commit index. */
function start({applied}: {readonly applied: number}) {
	const state = {
		now: 1000, index: 5 as number | undefined, applied, reconfirmations: 0, lastWakeAt: Number.NEGATIVE_INFINITY,
	};
	const group: Pick<ControlReplica, 'applied'> = {applied: async index => index <= state.applied};
	const confirmation = new StateConfirmation({
		clock: {monotonic: () => state.now},
		suspension: {lastWake: () => state.lastWakeAt},
		replica: () => group as ControlReplica,
		readIndex: async () => state.index,
		onReconfirmed() {
			state.reconfirmations++;
		},
	});
	return {confirmation, state};
}

test('the state is confirmed as of the request time once the leader\'s commit index is applied', async t => {
	const {confirmation, state} = start({applied: 5});
	await confirmation.confirm();
	t.is(confirmation.confirmedAt, 1000);
	state.now = 1500;
	await confirmation.confirm();
	t.deepEqual([confirmation.confirmedAt, state.reconfirmations], [1500, 1]);
	state.now = 9000;
	await confirmation.confirm();
	t.is(state.reconfirmations, 2);
	confirmation.reset();
	t.is(confirmation.confirmedAt, undefined);
});

test('nothing is confirmed or read while the leader does not reply or the replica is behind it', async t => {
	const {confirmation, state} = start({applied: 4});
	await confirmation.confirm();
	t.is(confirmation.confirmedAt, undefined);
	const behind = await confirmation.newest();
	t.is(behind.swap().unsafeCoerce().kind, 'no-quorum');
	state.applied = 5;
	const caughtUp = await confirmation.newest();
	t.true(caughtUp.isRight());
	state.index = undefined;
	const silent = await confirmation.newest();
	t.true(silent.isLeft());
});

test('after a suspension nothing is confirmed until a later request succeeds', async t => {
	const {confirmation, state} = start({applied: 5});
	await confirmation.confirm();
	state.lastWakeAt = 1200;
	t.is(confirmation.confirmedAt, undefined);
	await confirmation.confirm();
	t.is(confirmation.confirmedAt, undefined);
	state.now = 1200;
	await confirmation.confirm();
	t.is(confirmation.confirmedAt, 1200);
});
