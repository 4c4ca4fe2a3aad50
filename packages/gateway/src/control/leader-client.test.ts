import {type InstanceId, type ZoneId} from '@valehitch/core';
import test from 'ava';
import {createGatewayMetrics} from '../logs/gateway-metrics.js';
import {type ControlReplica} from './control-replica.js';
import {LeaderClient} from './leader-client.js';
import {type PeerMessage} from './peer-message.js';

const self = '10.0.0.1' as InstanceId;
const leader = '10.0.0.2' as InstanceId;

// The leader of the version before would commit the command, and end with every other replica that cannot read it.
test('a command is not sent to a leader that cannot read it', async t => {
	const asked: Array<PeerMessage['type']> = [];
	const client = new LeaderClient({
		self,
		clock: {now: () => new Date(0), monotonic: () => 0},
		metrics: createGatewayMetrics(),
		replica: () => ({leader, members: [self, leader]}) as unknown as ControlReplica,
		evidence: () => [],
		async ask(_to, {type}) {
			asked.push(type);
			return {index: 1};
		},
	});
	await client.readIndex();
	const result = await client.propose({
		type: 'set-evacuation', zone: 'hall-a' as ZoneId, isEvacuated: true, after: 0,
	});
	t.is(result.swap().map(({kind}) => kind).extract(), 'no-quorum');
	t.deepEqual(asked, ['confirm']);
});
