import {type ServerId} from '@valehitch/core';
import test from 'ava';
import {RequestedPauses} from './requested-pauses.js';

const server = 'server-1' as ServerId;

test('a pause lasts as long as it was asked for, and a shorter one does not cut it', t => {
	const pauses = new RequestedPauses();
	t.true(pauses.allows(server, 0));
	pauses.begin(server, {milliseconds: 3000, now: 0});
	pauses.begin(server, {milliseconds: 500, now: 100});
	pauses.recordAnswer(server, 0);
	t.is(pauses.waitFor(server, 1000), 2000);
	t.false(pauses.allows(server, 2999));
	t.true(pauses.allows(server, 3000));
});

test('one trial follows a pause, and others once it was answered', t => {
	const pauses = new RequestedPauses();
	pauses.begin(server, {milliseconds: 3000, now: 0});
	pauses.countSend(server, 3000);
	t.false(pauses.allows(server, 3500));
	pauses.recordAnswer(server, 3000);
	t.true(pauses.allows(server, 3500));
});

test('a trial that is rejected begins another pause, and one without an answer is repeated', t => {
	const pauses = new RequestedPauses();
	pauses.begin(server, {milliseconds: 3000, now: 0});
	pauses.countSend(server, 3000);
	pauses.begin(server, {milliseconds: 3000, now: 3010});
	t.is(pauses.waitFor(server, 3010), 3000);
	pauses.countSend(server, 6010);
	t.false(pauses.allows(server, 6500));
	t.true(pauses.allows(server, 7010));
});

test('a wrong pause does not last forever', t => {
	const pauses = new RequestedPauses();
	pauses.begin(server, {milliseconds: 1e15, now: 0});
	t.true(pauses.allows(server, 300_000));
});
