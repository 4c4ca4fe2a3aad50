import {type InstanceId, type ServerId} from '@valehitch/core';
import test from 'ava';
import {type LoadMessage} from '../control/peer-message.js';
import {LoadShare} from './load-share.js';

const peer = 'entry-2' as InstanceId;
const server = 'server-1' as ServerId;

test('changes are told once, unchanged loads again after a while, and an idle instance is quiet', t => {
	const sent: LoadMessage[] = [];
	let loads: LoadMessage['loads'] = [[server, 2]];
	const share = new LoadShare({
		own: () => loads, peers: () => [peer], send(_to, message) {
			sent.push(message);
		},
	});
	share.flush(1000);
	t.is(sent.length, 0);
	share.noteChange();
	share.flush(1040);
	share.flush(1080);
	t.is(sent.length, 1);
	share.flush(1340);
	t.is(sent.length, 2);
	loads = [];
	share.noteChange();
	share.flush(1400);
	share.flush(9000);
	t.is(sent.length, 3);
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
