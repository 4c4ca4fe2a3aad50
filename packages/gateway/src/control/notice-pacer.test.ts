import test from 'ava';
import {NoticePacer} from './notice-pacer.js';

const now = 1000;

test('the first change is told at once, further ones after a pause that grows with the polls', t => {
	const pacer = new NoticePacer();
	t.is(pacer.pause(now), 0);
	pacer.recordAnswers(10, now);
	t.true(pacer.pause(now) <= 20);
	pacer.recordAnswers(100, now);
	const pause = pacer.pause(now);
	t.true(pause > 20);
	t.is(pacer.pause(now + pause), 0);
});

test('news waits for at most a quarter of a second, however many polls there are', t => {
	const pacer = new NoticePacer();
	pacer.recordAnswers(100_000, now);
	t.is(pacer.pause(now), 250);
});

test('polls that are answered one by one count like those that are answered together', t => {
	const [together, oneByOne] = [new NoticePacer(), new NoticePacer()];
	together.recordAnswers(80, now);
	for (let count = 0; count < 80; count++) {
		oneByOne.recordAnswers(1, now);
	}

	t.is(oneByOne.pause(now), together.pause(now));
});
