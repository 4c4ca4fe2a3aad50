import {type InstanceId, type ServerId} from '@valehitch/core';
import test from 'ava';
import {type ServerNoticeMessage} from '../control/peer-message.js';
import {KnownPeers} from './known-peers.js';

const [self, one, two, control, otherControl] = ['10.0.0.1', '10.0.0.2', '10.0.0.3', '10.0.1.1', '10.0.1.2'] as InstanceId[] as [InstanceId, InstanceId, InstanceId, InstanceId, InstanceId];
const server = 'i-1' as ServerId;

function createPeers() {
	const sent: Array<readonly [InstanceId, ServerNoticeMessage]> = [];
	const time = {now: 0};
	const peers = new KnownPeers({
		self,
		clock: {monotonic: () => time.now},
		random: () => 0,
		send(to, message) {
			sent.push([to, message]);
		},
	});
	return {peers, sent, time};
}

test('the places of a server are divided by the largest number of instances that a control instance knows', t => {
	const {peers} = createPeers();
	t.is(peers.placesOf({id: server, slots: 60}), 60);
	peers.update(control, {entries: [one, two], entryCount: 6});
	t.is(peers.placesOf({id: server, slots: 60}), 10);
	peers.update(otherControl, {entries: [one], entryCount: 2});
	t.is(peers.placesOf({id: server, slots: 60}), 10);
	peers.update(control, {entries: [one, two]});
	t.is(peers.placesOf({id: server, slots: 60}), 20);
});

test('the peers are told of a rejection by a brittle server', t => {
	const {peers, sent} = createPeers();
	peers.update(control, {entries: [one, two], entryCount: 3});
	t.is(peers.tellRejection({server, rejectionsPerSecond: 2}), 1500);
	const notice = {
		type: 'server-notice', server, isDraining: false, pause: 1500,
	} as const;
	t.deepEqual(sent, [[one, notice], [two, notice]]);
});

test('a relay is known as cut off while one control instance calls it so, also one that is out of reach', t => {
	const {peers} = createPeers();
	peers.update(control, {entries: [], relays: [one, two], cutOffRelays: [two]});
	peers.update(otherControl, {entries: [], relays: [one, two]});
	t.deepEqual(peers.cutOffRelays, new Set([two]));
	peers.update(control, {entries: []});
	t.deepEqual(peers.cutOffRelays, new Set([two]), 'the list is as before');
	peers.update(control, {entries: [], relays: [one, two]});
	t.deepEqual(peers.cutOffRelays, new Set());
});

test('with up to seven instances, all others are peers', t => {
	const {peers} = createPeers();
	t.false(peers.reachesFew);
	peers.update(control, {entries: [one, two], entryCount: 7});
	t.false(peers.reachesFew);
	peers.update(otherControl, {entries: [one, two], entryCount: 8});
	t.true(peers.reachesFew);
	peers.update(otherControl, {entries: [one, two]});
	t.false(peers.reachesFew);
});

test('a control instance that is gone for good no longer keeps the number of instances up', t => {
	const {peers, time} = createPeers();
	peers.update(otherControl, {entries: [one, two], entryCount: 8, relays: [two]});
	time.now = 30_000;
	peers.update(control, {entries: [one, two], entryCount: 3, relays: [one]});
	t.true(peers.reachesFew, 'it may be behind a cut');
	t.deepEqual(peers.relays, [two, one]);
	time.now = 61_000;
	peers.update(control, {entries: [one, two], entryCount: 3, relays: [one]});
	t.false(peers.reachesFew);
	t.deepEqual(peers.relays, [one]);
	time.now = 600_000;
	t.is(peers.placesOf({id: server, slots: 60}), 20, 'the last report stays');
});
