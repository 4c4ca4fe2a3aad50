import {type VersionId} from '@valehitch/core';
import test from 'ava';
import {VersionPins} from './version-pins.js';

const version = 'v1' as VersionId;

test('a session keeps its version until it is idle for too long, and the number of sessions is limited', t => {
	const pins = new VersionPins({sessionMilliseconds: 5000, maximumSessions: 2});
	pins.pin('one', version, 0);
	t.is(pins.versionOf('one', 4999), version);
	t.is(pins.versionOf('one', 5000), undefined);
	pins.pin('two', version, 1);
	pins.pin('three', version, 2);
	t.is(pins.versionOf('one', 3), undefined);
	t.is(pins.versionOf('three', 3), version);
});
