import {type InstanceId, type ZoneId} from '@valehitch/core';
import test from 'ava';
import {RelayLists} from './relay-lists.js';

const entries = Array.from({length: 30}, (_, index) => ({instance: `10.0.0.${index}` as InstanceId, zone: `z${index % 3}` as ZoneId}));

test('an instance that loses its links to servers is on no list until it has them back, and lists are kept in between', t => {
	const lists = new RelayLists();
	const first = lists.listFor(entries[0]!, entries);
	t.is(lists.listFor(entries[0]!, entries), first);
	const [lost] = first.relays;
	lists.recordLinks(lost!, {isCutOff: true});
	const second = lists.listFor(entries[0]!, entries);
	t.not(second.revision, first.revision);
	t.false(second.relays.includes(lost!));
	lists.recordLinks(lost!, {isCutOff: true});
	t.is(lists.listFor(entries[0]!, entries), second);
	lists.recordLinks(lost!, {isCutOff: false});
	t.deepEqual(lists.listFor(entries[0]!, entries).relays, first.relays);
});

test('an instance that is gone is on no list, and is connected when it comes back', t => {
	const lists = new RelayLists();
	const gone = entries[1]!.instance;
	lists.recordLinks(gone, {isCutOff: true});
	const without = entries.filter(({instance}) => instance !== gone);
	lists.forget(gone);
	t.false(lists.listFor(entries[0]!, without).relays.includes(gone));
	const few = entries.slice(0, 5);
	t.true(lists.listFor(entries[0]!, few).relays.includes(gone));
});

test('a list that needs instances without links to servers says which these are', t => {
	const lists = new RelayLists();
	const few = entries.slice(0, 5);
	const lost = few[1]!.instance;
	t.deepEqual(lists.listFor(few[0]!, few).cutOffRelays, []);
	lists.recordLinks(lost, {isCutOff: true});
	t.deepEqual(lists.listFor(few[0]!, few).cutOffRelays, [lost]);
	t.deepEqual(lists.listFor(entries[0]!, entries).cutOffRelays, []);
});
