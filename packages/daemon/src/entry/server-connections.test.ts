import {type InstanceId} from '@valehitch/core';
import Logger from 'bunyan';
import {Left} from 'purify-ts';
import test from 'ava';
import {type Member} from '../member.js';
import {type PeerMessage} from '../messages.js';
import {systemClock} from '../system-clock.js';
import {ServerConnections, type ServerConnectionsOptions} from './server-connections.js';

function member(instance: string): Member {
	return {
		instance: instance as InstanceId, zone: 'hall-a' as Member['zone'], host: '127.0.0.1', port: 7340,
	};
}

test('a daemon that shuts down tells those that have connections open through it, and no others', t => {
	const sent: Array<readonly [InstanceId, PeerMessage]> = [];
	const connections = new ServerConnections({
		self: member('a'),
		clock: systemClock,
		random: () => 0,
		log: new Logger({name: 'test', streams: []}),
		network: {
			openTunnel: async () => Left({type: 'peer-unavailable', reason: 'There is no peer'}),
			tunnelCount: 1,
			tunnelPeers: new Set(['a', 'b'] as InstanceId[]),
			send(to, message) {
				sent.push([to.instance, message]);
			},
		},
		servers: {available: () => []} as unknown as ServerConnectionsOptions['servers'],
		members: () => [member('a'), member('b'), member('c')],
	});
	t.teardown(() => {
		connections.close();
	});
	connections.beginStop();
	t.deepEqual(sent, [['b' as InstanceId, {scope: 'entry', type: 'relay-stopping', relay: 'a' as InstanceId}]]);
});
