import test from 'ava';
import {InstanceStop, type StopMoment} from './instance-stop.js';

const clock = {monotonic: () => 1000};

test('a request hears that the stop begins, and that the answers are due before its end', async t => {
	const stop = new InstanceStop(clock);
	t.is(stop.answersDueAt, undefined);
	const moments: StopMoment[] = [];
	await new Promise<void>(resolve => {
		stop.watch(moment => {
			moments.push(moment);
			if (moment === 'answers-due') {
				resolve();
			}
		});
		stop.begin(1310);
	});
	t.deepEqual(moments, ['begun', 'answers-due']);
	t.true(stop.answersDueAt! < stop.endsAt!);
});

test('requests may go on for most of a short time until the end', t => {
	const stop = new InstanceStop(clock);
	stop.begin(1200);
	stop.close();
	t.true(stop.answersDueAt! - clock.monotonic() >= 170);
});

test('a request that has ended hears nothing', t => {
	const stop = new InstanceStop(clock);
	const unwatch = stop.watch(() => t.fail());
	unwatch();
	stop.begin(9000);
	stop.close();
	t.is(stop.endsAt, 9000);
});
