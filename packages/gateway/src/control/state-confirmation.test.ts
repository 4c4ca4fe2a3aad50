import test from 'ava';
import {type ControlGroup} from './control-group.js';
import {StateConfirmation} from './state-confirmation.js';

/** A replica that has applied up to an index, and a leader that names one. */
function start({applied}: {readonly applied: number}) {
	const state = {
		now: 1000, index: 5 as number | undefined, applied, regained: 0, wokeAt: Number.NEGATIVE_INFINITY,
	};
	const group: Pick<ControlGroup, 'applied'> = {applied: async index => index <= state.applied};
	const confirmation = new StateConfirmation({
		clock: {monotonic: () => state.now},
		suspension: {lastWake: () => state.wokeAt},
		group: () => group as ControlGroup,
		newestIndex: async () => state.index,
		onRegained() {
			state.regained++;
		},
	});
	return {confirmation, state};
}

test('the state is sure from the time of the question once the leader\'s index is applied', async t => {
	const {confirmation, state} = start({applied: 5});
	await confirmation.confirm();
	t.is(confirmation.confirmedAt, 1000);
	state.now = 1500;
	await confirmation.confirm();
	t.deepEqual([confirmation.confirmedAt, state.regained], [1500, 1]);
	state.now = 9000;
	await confirmation.confirm();
	t.is(state.regained, 2);
	confirmation.forget();
	t.is(confirmation.confirmedAt, undefined);
});

test('without word of the leader, or behind it, nothing is sure and nothing is read', async t => {
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

test('nothing is sure after a suspension until a question that was asked since', async t => {
	const {confirmation, state} = start({applied: 5});
	await confirmation.confirm();
	state.wokeAt = 1200;
	t.is(confirmation.confirmedAt, undefined);
	await confirmation.confirm();
	t.is(confirmation.confirmedAt, undefined);
	state.now = 1200;
	await confirmation.confirm();
	t.is(confirmation.confirmedAt, 1200);
});
