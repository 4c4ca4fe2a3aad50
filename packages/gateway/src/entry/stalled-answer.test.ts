import {once} from 'node:events';
import test from 'ava';
import {stalledStream} from './_test-stalled-stream.js';
import {handoverMilliseconds, StalledAnswer} from './stalled-answer.js';

function createAnswer() {
	const calls: string[] = [];
	const timers = new Set<() => void>();
	const answer = new StalledAnswer({
		onContinue() {
			calls.push('continue');
		},
		onLost({server}) {
			calls.push(`lost ${server.id}`);
		},
		onHandedOver({server}) {
			calls.push(`handed over ${server.id}`);
		},
		startTimer(milliseconds, callback) {
			calls.push(`timer ${milliseconds}`);
			timers.add(callback);
			return () => {
				timers.delete(callback);
			};
		},
	});
	const runTimers = (): void => {
		for (const callback of timers) {
			callback();
		}
	};

	return {answer, calls, runTimers};
}

test('a stream whose server sends data again is returned with all of its data', async t => {
	const {answer, calls} = createAnswer();
	const {stream, message} = stalledStream(t);
	answer.keep(stream);
	t.true(answer.isKept);
	t.false(answer.hasContinued);
	message.push('four');
	await once(message, 'readable');
	message.push('five');
	t.true(answer.hasContinued);
	t.deepEqual(calls, ['continue']);
	t.is(answer.take(), stream);
	t.false(answer.hasContinued);
	t.is(String(message.read()), 'fourfive');
});

test('a stream whose connection breaks is no longer kept', async t => {
	const {answer, calls} = createAnswer();
	const {stream, message} = stalledStream(t);
	answer.keep(stream);
	message.destroy();
	await once(message, 'close');
	t.false(answer.isKept);
	t.false(answer.hasContinued);
	t.is(answer.take(), undefined);
	t.deepEqual(calls, [`lost ${stream.server.id}`]);
});

test('a stream that another server has continued is closed', t => {
	const {answer, calls} = createAnswer();
	const {stream, message} = stalledStream(t);
	answer.keep(stream);
	answer.discard();
	t.true(message.destroyed);
	t.false(answer.isKept);
	t.deepEqual(calls, []);
});

test('a second stream that stalls before its first event is closed, and the first one kept', t => {
	const {answer} = createAnswer();
	const [first, second] = [stalledStream(t), stalledStream(t)];
	answer.keep(first.stream);
	answer.keep(second.stream);
	t.true(second.message.destroyed);
	t.is(answer.take(), first.stream);
});

test('a stream is closed some time after the head of another answer, whose first event is late', t => {
	const {answer, calls, runTimers} = createAnswer();
	const {stream, message} = stalledStream(t);
	answer.keep(stream);
	answer.startHandover();
	t.true(answer.isKept);
	runTimers();
	t.true(message.destroyed);
	t.false(answer.isKept);
	t.deepEqual(calls, [`timer ${handoverMilliseconds}`, `handed over ${stream.server.id}`]);
});

test('a stream is kept if the other answer ends before the time of the handover has passed', t => {
	const {answer, runTimers} = createAnswer();
	const {stream, message} = stalledStream(t);
	answer.keep(stream);
	const stop = answer.startHandover();
	stop();
	runTimers();
	t.false(message.destroyed);
	t.is(answer.take(), stream);
});

test('a stream whose server sends data during a handover is kept', async t => {
	const {answer, calls, runTimers} = createAnswer();
	const {stream, message} = stalledStream(t);
	answer.keep(stream);
	answer.startHandover();
	message.push('four');
	await once(message, 'readable');
	runTimers();
	t.false(message.destroyed);
	t.is(answer.take(), stream);
	t.deepEqual(calls, [`timer ${handoverMilliseconds}`, 'continue']);
});

test('a stream that stalls after another one was handed over is kept for its own time', t => {
	const {answer, runTimers} = createAnswer();
	const [first, second] = [stalledStream(t), stalledStream(t)];
	answer.keep(first.stream);
	answer.startHandover();
	answer.discard();
	answer.keep(second.stream);
	runTimers();
	t.false(second.message.destroyed);
	t.is(answer.take(), second.stream);
});

test('an answer that begins while no stream is kept starts no handover', t => {
	const {answer, calls} = createAnswer();
	answer.startHandover()();
	t.deepEqual(calls, []);
});
