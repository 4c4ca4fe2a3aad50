import {type InstanceId, type ServerId} from '@valehitch/core';
import test from 'ava';
import {type LoadMessage} from '../control/peer-message.js';
import {LoadExchange} from './load-exchange.js';

const peer = 'entry-2' as InstanceId;
const server = 'server-1' as ServerId;

function createExchange({peers, loads}: {readonly peers: readonly InstanceId[]; readonly loads: () => LoadMessage['loads']}) {
	const sent: LoadMessage[] = [];
	const exchange = new LoadExchange({
		ownLoads: loads, peers: () => peers, send(_to, message) {
			sent.push(message);
		},
	});
	return {share: exchange, sent};
}

test('changes are sent once, unchanged loads are repeated, and an idle instance sends nothing', t => {
	let loads: LoadMessage['loads'] = [[server, 2]];
	const {share: exchange, sent} = createExchange({peers: [peer], loads: () => loads});
	exchange.flush(1000);
	t.is(sent.length, 0);
	exchange.recordChange(2);
	exchange.flush(1040);
	exchange.flush(1080);
	t.is(sent.length, 1);
	exchange.flush(1540);
	t.is(sent.length, 2);
	loads = [];
	exchange.recordChange(-2);
	exchange.flush(1600);
	exchange.flush(9000);
	t.is(sent.length, 3);
});

test('small changes are delayed, and each message to a peer has to be earned by changes', t => {
	const peers = ['entry-2', 'entry-3', 'entry-4'] as InstanceId[];
	const {share: exchange, sent} = createExchange({peers, loads: () => [[server, 9]]});
	exchange.recordChange(1);
	exchange.flush(1000);
	t.is(sent.length, 3, 'the first message is sent because none was sent for long');
	exchange.recordChange(8);
	exchange.flush(1100);
	t.is(sent.length, 3, 'one change earns two messages');
	exchange.recordChange(-8);
	exchange.flush(1200);
	t.is(sent.length, 6);
	exchange.recordChange(1);
	exchange.flush(1300);
	t.is(sent.length, 6);
	exchange.flush(1700);
	t.is(sent.length, 9);
});

test('the loads of a peer replace its previous ones, and expire when it stops sending', t => {
	const exchange = new LoadExchange({
		ownLoads: () => [], peers: () => [], send() {
			t.fail('A message was sent without any peer');
		},
	});
	exchange.receive(peer, {type: 'load', loads: [[server, 2]]}, 1000);
	exchange.receive('entry-3' as InstanceId, {type: 'load', loads: [[server, 1]]}, 1000);
	exchange.receive(peer, {type: 'load', loads: [[server, 4]]}, 1900);
	t.is(exchange.peerLoadAt(server), 5);
	exchange.flush(2300);
	t.is(exchange.peerLoadAt(server), 4);
	exchange.flush(3200);
	t.is(exchange.peerLoadAt(server), 0);
});

test('loads at a restarted server are discarded, and those at other servers are kept', t => {
	const {share: exchange} = createExchange({peers: [peer], loads: () => []});
	const other = 'server-2' as ServerId;
	exchange.receive(peer, {type: 'load', loads: [[server, 4], [other, 5]]}, 1000);
	exchange.discardServer(server);
	t.is(exchange.peerLoadAt(server), 0);
	t.is(exchange.peerLoadAt(other), 5);
	exchange.flush(2000);
	t.is(exchange.peerLoadAt(other), 5);
});
