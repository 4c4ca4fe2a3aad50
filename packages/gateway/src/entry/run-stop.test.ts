import {type Failure} from '@valehitch/core';
import test from 'ava';
import {InstanceStop} from './instance-stop.js';
import {RunStop} from './run-stop.js';
import {type CancellableSend} from './send-attempt.js';

const deadlineAt = 5000;
/** An end after which requests with that deadline do not end in time, and one after which they do. */
const early = 5000;
const late = 6000;

type CreateRunOptions = {
	readonly mayHaveRun?: boolean;
	readonly hasStarted?: boolean;
	readonly isEarlierKept?: boolean;
	readonly sent?: CancellableSend;
};

/** Creates a request and the stop of its instance, which is due at once. */
function createRun({mayHaveRun = false, hasStarted = false, isEarlierKept = false, sent}: CreateRunOptions = {}) {
	const state = {now: 0, failed: [] as Failure[]};
	const clock = {monotonic: () => state.now, now: () => new Date()};
	const stop = new InstanceStop(clock);
	const end = {
		hasEnded: false,
		mayHaveRun,
		recordPossibleRun() {
			end.mayHaveRun = true;
		},
		fail(failed: Failure) {
			end.hasEnded = true;
			state.failed.push(failed);
			return 'ended' as const;
		},
	};
	const run = new RunStop({clock, stop}, {
		deadlineAt, answer: {hasStarted}, end, currentSend: () => sent, forwardKept: () => false, isEarlierKept: () => isEarlierKept, onEnded() {
			// Nothing is kept or held.
		},
	});
	run.watch();
	return {
		state, stop, run, kinds: () => state.failed.map(({kind}) => kind),
	};
}

function createSend(isSent: boolean) {
	const send = {
		isCancelled: false,
		isSent: () => isSent,
		cancel() {
			send.isCancelled = true;
		},
	};
	return send;
}

test('a request that is held or waits for a server when the stop begins is refused at once unless it ends in time', t => {
	const tooLong = createRun();
	tooLong.stop.begin(early);
	t.deepEqual(tooLong.kinds(), ['shutting-down']);
	tooLong.stop.close();
	const inTime = createRun();
	inTime.stop.begin(late);
	t.deepEqual(inTime.kinds(), []);
	t.true(inTime.run.maySend);
	inTime.stop.close();
});

test('a request that waits for its next send goes on when the stop begins if an earlier server may still answer it', t => {
	const {stop, kinds} = createRun({isEarlierKept: true});
	stop.begin(early);
	t.deepEqual(kinds(), []);
	stop.close();
});

test('a request that may have run, or whose answer has begun, is sent again while time is left', t => {
	for (const options of [{mayHaveRun: true}, {hasStarted: true}]) {
		const {run, stop, state, kinds} = createRun(options);
		stop.begin(early);
		t.deepEqual(kinds(), []);
		t.true(run.maySend);
		t.false(run.mayImprove);
		state.now = early;
		t.false(run.maySend);
		stop.close();
	}
});

for (const [isSent, kind] of [[true, 'deadline-exceeded-after-dispatch'], [false, 'shutting-down']] as const) {
	test(`a request that ${isSent ? 'was' : 'was not'} written when the answers are due is told so, and its send is cancelled`, async t => {
		const send = createSend(isSent);
		const {stop, kinds} = createRun({sent: send});
		await new Promise<void>(resolve => {
			stop.watch(moment => {
				if (moment === 'answers-due') {
					resolve();
				}
			});
			stop.begin(0);
		});
		t.deepEqual(kinds(), [kind]);
		t.true(send.isCancelled);
	});
}

test('a stream that has begun goes on when the answers are due', async t => {
	const send = createSend(true);
	const {stop, kinds} = createRun({sent: send, hasStarted: true});
	await new Promise<void>(resolve => {
		stop.watch(moment => {
			if (moment === 'answers-due') {
				resolve();
			}
		});
		stop.begin(0);
	});
	t.deepEqual(kinds(), []);
	t.false(send.isCancelled);
});
