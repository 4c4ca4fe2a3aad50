import {type ServerId} from '@valehitch/core';
import test from 'ava';
import {ServerActivity} from './server-activity.js';

const server = 'desk-1' as ServerId;

test('a silent server is avoided for twice as long each time, up to a maximum', t => {
	const activity = new ServerActivity();
	let now = 1000;
	for (const duration of [500, 1000, 2000, 4000, 8000, 8000]) {
		activity.recordSilent(server, {now, since: now - 100});
		t.true(activity.isSilent(server, now + duration - 1));
		t.false(activity.isSilent(server, now + duration));
		now += duration;
	}
});

test('requests that wait together do not lengthen the time for which a silent server is avoided', t => {
	const activity = new ServerActivity();
	activity.recordSilent(server, {now: 1000, since: 0});
	activity.recordSilent(server, {now: 1001, since: 0});
	t.false(activity.isSilent(server, 1500));
});

test('a server that sends data is used again at once', t => {
	const activity = new ServerActivity();
	activity.recordSilent(server, {now: 1000, since: 0});
	activity.recordData(server, 1100);
	t.false(activity.isSilent(server, 1100));
	activity.recordSilent(server, {now: 2000, since: 1200});
	t.false(activity.isSilent(server, 2500));
});

test('a server that sends data to other requests is not silent', t => {
	const activity = new ServerActivity();
	activity.recordData(server, 900);
	activity.recordSilent(server, {now: 1000, since: 500});
	t.false(activity.isSilent(server, 1000));
	t.true(activity.hasSentDataSince(server, 900));
	t.false(activity.hasSentDataSince(server, 901));
});
