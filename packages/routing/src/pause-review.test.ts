import test from 'ava';
import {PauseReview, type PausedStream} from './pause-review.js';

const quiet: PausedStream = {
	now: 1200, heardAt: 0, paused: 1200, timeLeft: 20_000, resumeTime: 300, canGoElsewhere: () => true, isServerInDoubt: false,
};

function createReview() {
	const decisions: Array<readonly [string, number]> = [];
	const review = new PauseReview({
		targetGap: 1000,
		onDecision({reason}, paused) {
			decisions.push([reason, paused]);
		},
	});
	/** Reviews a pause since the beginning, each 100 ms; returns when another server was asked, and why. */
	const resumedAt = (heardAt: (now: number) => number): readonly [number, string] | undefined => {
		for (let now = 1000; now <= 5000; now += 100) {
			const {type, reason} = review.decide({
				...quiet, now, paused: now, heardAt: heardAt(now),
			});
			if (type === 'resume-elsewhere') {
				return [now, reason];
			}
		}

		return undefined;
	};

	return {review, decisions, resumedAt};
}

test('a server that goes on with others for a while has overtaken the stream', t => {
	t.deepEqual(createReview().resumedAt(now => now - 10), [1300, 'overtaken']);
});

test('data of a server before the stream was late tell nothing', t => {
	t.deepEqual(createReview().resumedAt(() => 1000), [2000, 'silent']);
});

test('a single event of another stream is not taken for a server that goes on', t => {
	t.deepEqual(createReview().resumedAt(() => 1050), [2000, 'silent']);
});

test('each reason is told once in a pause, from when an event is late', t => {
	const {review, decisions, resumedAt} = createReview();
	t.is(review.decide({...quiet, now: 999.7, paused: 999.7}).reason, 'on-time');
	resumedAt(() => 0);
	t.deepEqual(decisions, [['may-go-on', 1000], ['silent', 2000]]);
});

test('what was found in a pause is forgotten in the next one', t => {
	const {review, decisions} = createReview();
	review.decide({...quiet, heardAt: 1190});
	t.is(review.decide({
		...quiet, now: 5000, paused: 1100, heardAt: 4990,
	}).reason, 'may-go-on');
	t.is(decisions.length, 2);
});
