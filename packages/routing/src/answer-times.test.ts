import test from 'ava';
import {testProp, fc} from '@fast-check/ava';
import {AnswerTimes} from './answer-times.js';

const route = 'route-1';

test('too few answers give no quantile', t => {
	const times = new AnswerTimes({minimumCount: 3});
	times.recordAnswered(route, {sentAt: 0, now: 100});
	times.recordAnswered(route, {sentAt: 0, now: 100});
	t.is(times.quantile(route, {share: 0.5, now: 100}), undefined);
});

const someDurations = fc.array(fc.integer({min: 1, max: 60_000}), {minLength: 20, maxLength: 200});

testProp('a quantile lies within a tenth above the sorted times', [someDurations, fc.double({min: 0.05, max: 1, noNaN: true})], (t, durations, share) => {
	const times = new AnswerTimes({windowMilliseconds: 1e9});
	for (const duration of durations) {
		times.recordAnswered(route, {sentAt: 0, now: duration});
	}

	const sorted = durations.toSorted((a, b) => a - b);
	// Sums of shares may fall short of the asked one by a rounding error.
	const lower = sorted[Math.max(0, Math.ceil((share * sorted.length) - 1e-6) - 1)]!;
	const upper = sorted[Math.min(sorted.length - 1, Math.ceil((share * sorted.length) + 1e-6) - 1)]!;
	const quantile = times.quantile(route, {share, now: 0})!;
	t.true(quantile >= lower * 0.999, `${quantile} < ${lower}`);
	t.true(quantile <= upper * 1.101, `${quantile} > ${upper}`);
});

test('sends that were given up do not lower the quantiles', t => {
	const times = new AnswerTimes();
	for (let index = 0; index < 80; index++) {
		times.recordAnswered(route, {sentAt: 0, now: 100});
	}

	for (let index = 0; index < 20; index++) {
		times.recordAbandoned(route, {sentAt: 0, now: 400});
	}

	for (let index = 0; index < 10; index++) {
		times.recordAnswered(route, {sentAt: 0, now: 2000});
	}

	const quantile = times.quantile(route, {share: 0.95, now: 2000})!;
	t.true(quantile > 1900 && quantile < 2300, `${quantile}`);
});

test('if fewer are answered than the quantile asks for, it is the longest time seen', t => {
	const times = new AnswerTimes();
	for (let index = 0; index < 50; index++) {
		times.recordAnswered(route, {sentAt: 0, now: 100});
		times.recordAbandoned(route, {sentAt: 0, now: 300});
	}

	const quantile = times.quantile(route, {share: 0.95, now: 300})!;
	t.true(quantile >= 100 && quantile < 115, `${quantile}`);
});

test('times compared with expected ones are told apart below one too', t => {
	const times = new AnswerTimes();
	for (let index = 0; index < 20; index++) {
		times.recordAnswered(route, {sentAt: 0, now: 50, unit: 200});
	}

	const quantile = times.quantile(route, {share: 0.95, now: 50})!;
	t.true(quantile >= 0.25 && quantile < 0.28, `${quantile}`);
});

test('samples no longer count after the window', t => {
	const times = new AnswerTimes({windowMilliseconds: 1000});
	for (let index = 0; index < 20; index++) {
		times.recordAnswered(route, {sentAt: 0, now: 100});
	}

	t.not(times.quantile(route, {share: 0.5, now: 590}), undefined);
	t.is(times.quantile(route, {share: 0.5, now: 1700}), undefined);
});

test('a waiting send is overtaken by later ones that were answered, and by none of another key', t => {
	const times = new AnswerTimes();
	times.recordAnswered(route, {sentAt: 10, now: 30});
	times.recordAnswered(route, {sentAt: 25, now: 40});
	times.recordAnswered('route-2', {sentAt: 30, now: 40});
	t.is(times.overtakenBy(route, {sentAt: 20}), 1);
	t.is(times.overtakenBy('route-3', {sentAt: 20}), 0);
	for (let index = 0; index < 500; index++) {
		times.recordAnswered(route, {sentAt: 50, now: 60});
	}

	t.is(times.overtakenBy(route, {sentAt: 20}), 64);
});
