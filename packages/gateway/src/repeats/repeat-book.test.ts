import test from 'ava';
import {type RouteId} from '../configuration/routing-configuration.js';
import {RepeatBook} from './repeat-book.js';
import {SubjectLog} from './subject-log.js';

const route = 'drafts' as RouteId;
const control = 'control-1';

test('each of 195 instances is told how often subjects repeat over all of them, though none sees one twice', t => {
	const counted = new RepeatBook({maximumSubjects: 8192});
	const instances = Array.from({length: 195}, () => ({repeats: new RepeatBook(), log: new SubjectLog()}));
	// Each of 500 subjects comes every 4 s, each time at another instance.
	for (let request = 0; request < 4000; request++) {
		const now = request * 8;
		const subject = request % 500;
		const {repeats, log} = instances[request % 195]!;
		repeats.of(route).note(subject, now);
		log.note(route, {subject, now});
		counted.hear(log.next(control, now), now);
	}

	const [{repeats}] = instances as [typeof instances[number]];
	t.true(repeats.shareOf(route) < 0.1, 'the own requests show nothing');
	repeats.take(counted.counted);
	t.true(repeats.shareOf(route) > 0.8);
});

test('without word of control the own counts decide, and a lower word does not hide them', t => {
	const repeats = new RepeatBook();
	for (let request = 0; request < 300; request++) {
		repeats.of(route).note('wagon-1', request);
	}

	t.true(repeats.shareOf(route) > 0.9);
	repeats.take([{route, share: 0.1}]);
	t.true(repeats.shareOf(route) > 0.9);
});
