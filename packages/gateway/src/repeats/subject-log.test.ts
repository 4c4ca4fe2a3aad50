import test from 'ava';
import {type RouteId} from '../configuration/routing-configuration.js';
import {SubjectLog} from './subject-log.js';

const drafts = 'drafts' as RouteId;
const lookups = 'lookups' as RouteId;

test('each reader gets each subject once, by route', t => {
	const log = new SubjectLog();
	log.note(drafts, {subject: 1, now: 0});
	log.note(lookups, {subject: 2, now: 0});
	t.deepEqual(log.next('control-1', 10), [{route: drafts, subjects: [1]}, {route: lookups, subjects: [2]}]);
	log.note(drafts, {subject: 1, now: 20});
	t.deepEqual(log.next('control-1', 30), [{route: drafts, subjects: [1]}]);
	t.deepEqual(log.next('control-1', 30), []);
	t.deepEqual(log.next('control-2', 30), [{route: drafts, subjects: [1, 1]}, {route: lookups, subjects: [2]}]);
});

test('old subjects are not told, and no more are kept than allowed', t => {
	const log = new SubjectLog();
	log.note(drafts, {subject: 1, now: 0});
	t.deepEqual(log.next('control-1', 3001), []);
	for (let subject = 0; subject < 1000; subject++) {
		log.note(drafts, {subject, now: 4000});
	}

	const [told] = log.next('control-1', 4000);
	t.is(told?.subjects.length, 512);
	t.is(told?.subjects.at(-1), 999);
});
