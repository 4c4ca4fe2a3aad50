import {type VersionId} from '@valehitch/core';
import test from 'ava';
import {VersionPins} from './version-pins.js';

const version = 'v1' as VersionId;

test('a session keeps its version until it is idle for too long, and the number of sessions is limited', t => {
	const pins = new VersionPins({sessionMilliseconds: 5000, maximumSessions: 2});
	pins.note('one', version, 0);
	t.is(pins.of('one', 4999), version);
	t.is(pins.of('one', 5000), undefined);
	pins.note('two', version, 1);
	pins.note('three', version, 2);
	t.is(pins.of('one', 3), undefined);
	t.is(pins.of('three', 3), version);
});
