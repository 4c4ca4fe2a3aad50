import {
	type Clock, HybridClock, type InstanceId, type TimelineEvent, toId, type ZoneId,
} from '@valehitch/core';
import {fc, testProp} from '@fast-check/ava';
import test from 'ava';
import {filterEvents} from './_filter-events.js';
import {mergeEvents, parseLog} from './_read-events.js';
import {renderTimelinePage} from './_timeline-page.js';

const names = ['left', 'right', 'third'] as const;

function eventOf(instance: string, members: Partial<TimelineEvent> & Pick<TimelineEvent, 'stamp'>): TimelineEvent {
	return {
		event: 'request-received', instance: toId<InstanceId>(instance), zone: toId<ZoneId>('zone-a'), ...members,
	};
}

// Each step is a message from one process to another, or to itself, at a wall clock with an arbitrary skew.
const steps = fc.array(fc.record({from: fc.nat(2), to: fc.nat(2), skew: fc.integer({min: -50, max: 50})}), {maxLength: 60});

testProp('the merged order never shows an event before one that it follows from', [steps], (t, run) => {
	let currentSkew = 0;
	const clock: Clock = {now: () => new Date(1000 + currentSkew), monotonic: () => 0};
	const clocks = names.map(() => new HybridClock(clock));
	const events: TimelineEvent[] = [];
	const causes: Array<readonly [TimelineEvent, TimelineEvent]> = [];
	for (const {from, to, skew} of run) {
		currentSkew = skew;
		const sent = eventOf(names[from] ?? '', {stamp: clocks[from]?.next() ?? {wall: 0, counter: 0}});
		clocks[to]?.observe(sent.stamp);
		const received = eventOf(names[to] ?? '', {stamp: clocks[to]?.next() ?? {wall: 0, counter: 0}});
		events.push(sent, received);
		causes.push([sent, received]);
	}

	const merged = mergeEvents(events.toReversed());
	t.is(merged.length, events.length);
	for (const [cause, effect] of causes) {
		t.true(merged.indexOf(cause) < merged.indexOf(effect));
	}
}, {seed: 8, numRuns: 300});

test('a log is parsed into its events, skipping other records and counting a truncated line', t => {
	const event = eventOf('left', {stamp: {wall: 1, counter: 0}, requestId: 'r1'});
	const text = `${JSON.stringify({msg: 'x', timeline: event})}\n${JSON.stringify({msg: 'other'})}\nnot JSON\n{"timeline": {"eve`;
	t.deepEqual(parseLog(text), {events: [event], unreadable: 1});
});

test('an event read from both a log and a running instance is kept once', t => {
	const event = eventOf('left', {stamp: {wall: 1, counter: 0}});
	t.is(mergeEvents([event, {...event}, eventOf('right', {stamp: event.stamp})]).length, 2);
});

test('all members of a filter must match, and a version may be given with its model', t => {
	const stamp = {wall: 1, counter: 0};
	const first = eventOf('left', {
		stamp, requestId: 'r1', model: 'small', version: '1.0',
	});
	const second = eventOf('left', {
		stamp, requestId: 'r2', server: 'engine-1', event: 'server-lost',
	});
	t.deepEqual(filterEvents([first, second], {}), [first, second]);
	t.deepEqual(filterEvents([first, second], {request: 'r1'}), [first]);
	t.deepEqual(filterEvents([first, second], {version: 'small@1.0'}), [first]);
	t.deepEqual(filterEvents([first, second], {version: '1.0', server: 'engine-1'}), []);
	t.deepEqual(filterEvents([first, second], {event: ['server-lost'], zone: 'zone-a'}), [second]);
});

test('the page escapes event data and loads nothing from the network', t => {
	const page = renderTimelinePage([eventOf('left', {stamp: {wall: 1, counter: 0}, requestId: '"><script>alert(1)</script>', details: {message: '</table>'}})]);
	t.is(page.split('<script>').length, 2);
	t.false(page.includes('</table></td>'));
	t.notRegex(page, /(?:src|href)=|https?:/v);
});
