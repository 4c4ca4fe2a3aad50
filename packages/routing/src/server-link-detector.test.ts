import {type ServerId} from '@valehitch/core';
import test from 'ava';
import {ServerLinkDetector} from './server-link-detector.js';

const one = 'server-1' as ServerId;
const two = 'server-2' as ServerId;

test('links are suspected once two servers in a row are unreachable', t => {
	const links = new ServerLinkDetector();
	t.false(links.recordUnreachable(one, 10));
	t.false(links.recordUnreachable(one, 20));
	t.is(links.state, 'connected');
	t.true(links.recordUnreachable(two, 30));
	t.is(links.state, 'suspected');
	t.is(links.since, 10);
	t.deepEqual([...links.unreachable], [one, two]);
	t.false(links.recordUnreachable('server-3' as ServerId, 40));
});

test('a connection in between prevents a suspicion', t => {
	const links = new ServerLinkDetector();
	links.recordUnreachable(one, 0);
	links.recordConnected();
	t.false(links.recordUnreachable(two, 10));
	t.is(links.state, 'connected');
	t.is(links.since, 10);
});

test('only failed trials turn a suspicion into a cut, and any connection ends it', t => {
	const links = new ServerLinkDetector();
	t.false(links.recordTrialsFailed());
	t.is(links.state, 'connected');
	links.recordUnreachable(one, 0);
	links.recordUnreachable(two, 0);
	t.true(links.recordTrialsFailed());
	t.is(links.state, 'cut-off');
	t.false(links.recordTrialsFailed());
	links.recordConnected();
	t.is(links.state, 'connected');
	t.is(links.since, undefined);
	t.false(links.recordUnreachable(one, 10));
});
