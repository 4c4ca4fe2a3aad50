import {
	type InstanceId, type TimelineEvent, toId, type ZoneId,
} from '@valehitch/core';
import {fc, testProp} from '@fast-check/ava';
import {EventRing} from './event-ring.js';

function createEvent(number: number): TimelineEvent {
	return {
		event: 'instance-started', stamp: {wall: number, counter: 0}, instance: toId<InstanceId>('i'), zone: toId<ZoneId>('z'),
	};
}

testProp('a page contains the retained events after a position, in order, and the number of dropped ones', [fc.integer({min: 1, max: 8}), fc.nat(30), fc.nat(40)], (t, capacity, count, after) => {
	const ring = new EventRing(capacity);
	for (let number = 0; number < count; number++) {
		ring.add(createEvent(number));
	}

	const from = after > count ? 0 : after;
	const first = Math.max(from, count - capacity);
	const page = ring.readAfter(after);
	t.deepEqual(page.events.map(({stamp}) => stamp.wall), Array.from({length: count - first}, (_, index) => first + index));
	t.deepEqual([page.next, page.dropped], [count, first - from]);
}, {seed: 8, numRuns: 300});
