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
	share.flush(1340);
	t.is(sent.length, 2);
	loads = [];
	share.noteChange(-2);
	share.flush(1400);
	share.flush(9000);
	t.is(sent.length, 3);
});

test('small changes wait, and many peers are told less often', t => {
	const {share, sent} = shareWith({peers: [peer, 'entry-3' as InstanceId], loads: () => [[server, 9]]});
	share.noteChange(8);
	share.flush(1000);
	t.is(sent.length, 2);
	share.noteChange(1);
	share.flush(1100);
	t.is(sent.length, 2);
	share.noteChange(-1);
	share.flush(1134);
	t.is(sent.length, 4);
	share.noteChange(8);
	share.flush(1150);
	t.is(sent.length, 4);
	share.flush(1170);
	t.is(sent.length, 6);
	share.noteChange(1);
	share.flush(1470);
	t.is(sent.length, 8);
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
