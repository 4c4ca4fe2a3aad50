import test from 'ava';
import {keepAliveTime, maximumIdleMilliseconds} from './keep-alive-time.js';

test('an idle connection is used until a second before the timeout that its server states', t => {
	t.is(keepAliveTime('timeout=2'), 1000);
	t.is(keepAliveTime('max=100, Timeout = 2'), 1000);
	t.is(keepAliveTime('timeout="2", max=1'), 1000);
	t.is(keepAliveTime('timeout=1'), 0);
	t.is(keepAliveTime('timeout=0'), 0);
});

test('a header without a readable timeout counts as none', t => {
	for (const header of [undefined, '', 'max=100', 'timeout=soon', 'timeout=-1', 'timeout=2.5', 'idletimeout=9']) {
		t.is(keepAliveTime(header), maximumIdleMilliseconds, `header ${header}`);
	}
});

test('an idle connection is used for 1.5 s at most, however long its server keeps it', t => {
	t.is(keepAliveTime('timeout=5'), 1500);
	t.is(keepAliveTime('timeout=999999999'), maximumIdleMilliseconds);
});
