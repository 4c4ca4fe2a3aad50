import {type InstanceId, type ServerId} from '@valehitch/core';
import test from 'ava';
import {type LoadMessage} from '../control/peer-message.js';
import {LoadShare} from './load-share.js';

const peer = 'entry-2' as InstanceId;
const server = 'server-1' as ServerId;

function shareWith({peers, loads}: {readonly peers: readonly InstanceId[]; readonly loads: () => LoadMessage['loads']}) {
	const sent: LoadMessage[] = [];
	const share = new LoadShare({
		own: loads, peers: () => peers, send(_to, message) {
			sent.push(message);
		},
	});
	return {share, sent};
}

test('changes are told once, unchanged loads again after a while, and an idle instance is quiet', t => {
	let loads: LoadMessage['loads'] = [[server, 2]];
	const {share, sent} = shareWith({peers: [peer], loads: () => loads});
	share.flush(1000);
	t.is(sent.length, 0);
	share.noteChange(2);
	share.flush(1040);
	share.flush(1080);
	t.is(sent.length, 1);
	share.flush(1540);
	t.is(sent.length, 2);
	loads = [];
	share.noteChange(-2);
	share.flush(1600);
	share.flush(9000);
	t.is(sent.length, 3);
});

test('small changes wait, and messages to many peers cost changes', t => {
	const peers = ['entry-2', 'entry-3', 'entry-4'] as InstanceId[];
	const {share, sent} = shareWith({peers, loads: () => [[server, 9]]});
	share.noteChange(1);
	share.flush(1000);
	t.is(sent.length, 3, 'the first one goes out, since nothing was told for long');
	share.noteChange(8);
	share.flush(1100);
	t.is(sent.length, 3, 'one change pays for two messages');
	share.noteChange(-8);
	share.flush(1200);
	t.is(sent.length, 6);
	share.noteChange(1);
	share.flush(1300);
	t.is(sent.length, 6);
	share.flush(1700);
	t.is(sent.length, 9);
});

test('the loads of a peer replace those before, and end with its silence', t => {
	const share = new LoadShare({
		own: () => [], peers: () => [], send() {
			t.fail('There is nobody to tell');
		},
	});
	share.receive(peer, {type: 'load', loads: [[server, 2]]}, 1000);
	share.receive('entry-3' as InstanceId, {type: 'load', loads: [[server, 1]]}, 1000);
	share.receive(peer, {type: 'load', loads: [[server, 4]]}, 1900);
	t.is(share.othersOn(server), 5);
	share.flush(2300);
	t.is(share.othersOn(server), 4);
	share.flush(3200);
	t.is(share.othersOn(server), 0);
});

test('loads at a server that started again are forgotten, and those at others are kept', t => {
	const {share} = shareWith({peers: [peer], loads: () => []});
	const other = 'server-2' as ServerId;
	share.receive(peer, {type: 'load', loads: [[server, 4], [other, 5]]}, 1000);
	share.forget(server);
	t.is(share.othersOn(server), 0);
	t.is(share.othersOn(other), 5);
	share.flush(2000);
	t.is(share.othersOn(other), 5);
});
