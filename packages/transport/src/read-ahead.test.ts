import test from 'ava';
import {ReadAhead} from './_read-ahead.js';

const moreThanAllowed = 9_000_000;

test('a caller that was paused since other tunnels held too much is read again once these have ended', t => {
	const readAhead = new ReadAhead();
	const resumed: string[] = [];
	readAhead.add(moreThanAllowed);
	t.true(readAhead.isFull);
	readAhead.waitForRoom(() => {
		resumed.push('one');
	});
	const stop = readAhead.waitForRoom(() => {
		resumed.push('closed');
	});
	stop();
	readAhead.add(1000);
	t.deepEqual(resumed, []);
	readAhead.add(-moreThanAllowed);
	readAhead.add(-1000);
	t.deepEqual(resumed, ['one']);
});
