import {type InstanceId, type ZoneId} from '@valehitch/core';
import test from 'ava';
import {type ActiveEntry, orderByName, selectLoadSharingPeers} from './select-load-sharing-peers.js';

function entries(count: number, zone: string): readonly ActiveEntry[] {
	return Array.from({length: count}, (_, index) => ({instance: `${zone}-${String(index).padStart(2, '0')}` as InstanceId, zone: zone as ZoneId}));
}

test('in a small deployment all other entry instances are peers', t => {
	const all = [...entries(3, 'a'), ...entries(2, 'b')];
	t.deepEqual(selectLoadSharingPeers(all[1]!, all), ['a-02', 'a-00', 'b-00', 'b-01'] as never);
});

test('in a large deployment each entry instance has six peers in its availability zone and is the peer of six others', t => {
	const all = [...entries(28, 'a'), ...entries(28, 'b')];
	const peers = all.flatMap(entry => selectLoadSharingPeers(entry, all));
	t.is(peers.length, 336);
	for (const {instance} of all) {
		t.is(peers.filter(other => other === instance).length, 6);
	}
});

test('the peers do not depend on the order in which the entry instances came', t => {
	const all = [...entries(9, 'a'), ...entries(9, 'b')];
	const ordered = orderByName(all.toReversed());
	for (const entry of all) {
		t.deepEqual(selectLoadSharingPeers(entry, ordered), selectLoadSharingPeers(entry, all));
	}
});
