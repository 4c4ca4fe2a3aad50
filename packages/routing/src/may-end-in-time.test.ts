import test from 'ava';
import {testProp, fc} from '@fast-check/ava';
import {AnswerTimes} from './answer-times.js';
import {mayEndInTime} from './may-end-in-time.js';

const key = 'route-1';

function timesOf(durations: readonly number[], now: number): AnswerTimes {
	const times = new AnswerTimes({windowMilliseconds: 1e9});
	for (const duration of durations) {
		times.recordAnswered(key, {sentAt: now - duration, now});
	}

	return times;
}

const slow = Array.from({length: 40}, () => 3000);

test('a request is not sent if even the fast answers take longer than the time left', t => {
	const times = timesOf(slow, 10_000);
	t.false(mayEndInTime(times, {
		key, timeLeft: 2200, loses: 'nothing', now: 10_000,
	}));
	t.true(mayEndInTime(times, {
		key, timeLeft: 3000, loses: 'nothing', now: 10_000,
	}));
});

test('a request with an answer is sent only if another answer is as likely in time as not', t => {
	const times = timesOf([...slow, ...Array.from({length: 20}, () => 1000)], 10_000);
	t.true(mayEndInTime(times, {
		key, timeLeft: 1500, loses: 'nothing', now: 10_000,
	}));
	t.false(mayEndInTime(times, {
		key, timeLeft: 1500, loses: 'an-answer', now: 10_000,
	}));
	t.true(mayEndInTime(times, {
		key, timeLeft: 3000, loses: 'an-answer', now: 10_000,
	}));
});

test('while fewer answers are known than a quantile needs, any request is sent', t => {
	t.true(mayEndInTime(timesOf(slow.slice(0, 19), 10_000), {
		key, timeLeft: 1, loses: 'nothing', now: 10_000,
	}));
	t.true(mayEndInTime(new AnswerTimes(), {
		key, timeLeft: 1, loses: 'an-answer', now: 0,
	}));
});

test('requests that are not sent cannot keep the times from being learned anew', t => {
	const times = timesOf(slow, 10_000);
	t.false(mayEndInTime(times, {
		key, timeLeft: 2200, loses: 'nothing', now: 15_000,
	}));
	t.true(mayEndInTime(times, {
		key, timeLeft: 2200, loses: 'nothing', now: 20_000,
	}));
});

test('answers that were cut count as longer than they were waited for', t => {
	const times = timesOf(Array.from({length: 20}, () => 1000), 10_000);
	for (let index = 0; index < 380; index++) {
		times.recordAbandoned(key, {sentAt: 4000, now: 4900});
	}

	t.true(mayEndInTime(times, {
		key, timeLeft: 1000, loses: 'nothing', now: 10_000,
	}));
	t.false(mayEndInTime(times, {
		key, timeLeft: 800, loses: 'nothing', now: 10_000,
	}));
});

const someDurations = fc.array(fc.integer({min: 1, max: 60_000}), {minLength: 1, maxLength: 300});

testProp('a request whose answer takes no longer than the fast tenth is never refused', [someDurations, fc.integer({min: 0, max: 60_000})], (t, durations, slack) => {
	const fast = durations.toSorted((a, b) => a - b)[Math.ceil(durations.length / 10) - 1]!;
	t.true(mayEndInTime(timesOf(durations, 1e6), {
		key, timeLeft: fast + slack, loses: 'nothing', now: 1e6,
	}));
}, {numRuns: 1000});

const someCuts = fc.array(fc.tuple(fc.integer({min: 1, max: 10_000}), fc.boolean()), {minLength: 1, maxLength: 300});

testProp('cut answers beside it never have such a request refused', [someCuts], (t, answers) => {
	const times = new AnswerTimes({windowMilliseconds: 1e9});
	for (const [duration, isCut] of answers) {
		const sample = {sentAt: 1e6 - duration, now: 1e6};
		if (isCut) {
			times.recordAbandoned(key, sample);
		} else {
			times.recordAnswered(key, sample);
		}
	}

	// A cut answer that would have taken any longer time leaves the fast tenth of all no sooner than that of the whole ones.
	const ended = answers.filter(([, isCut]) => !isCut).map(([duration]) => duration).toSorted((a, b) => a - b);
	const latest = ended.at(-1) ?? 0;
	t.true(mayEndInTime(times, {
		key, timeLeft: latest, loses: 'nothing', now: 1e6,
	}));
}, {numRuns: 1000});
