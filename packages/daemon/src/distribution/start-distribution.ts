import {
	type Announcement, type EffectiveConfiguration, type InstanceId, SuspensionDetector,
} from '@valehitch/core';
import {ConfigurationRelay, type InForceStatus, type ServerTable} from '@valehitch/membership';
import {match} from 'ts-pattern';
import {type ControlPart} from '../control/start-control.js';
import {type DaemonBase} from '../daemon-base.js';
import {type Member} from '../member.js';
import {type ActiveConfiguration} from './active-configuration.js';
import {queryInForce} from './query-in-force.js';
import {DistributionNode} from './distribution-node.js';
import {decodeExchange, encodeReply} from './exchange-codec.js';
import {type LostInstance} from './lost-instance-notifier.js';
import {type DistributionMessage} from './messages.js';

/** The component of the daemon that distributes the configuration, the members and the backend servers. */
export type DistributionPart = {
	readonly servers: ServerTable;
	/** Returns the configuration for serving requests, and whether it is isolated; undefined until the first is activated. */
	readonly active: () => ActiveConfiguration | undefined;
	/** Returns the configuration in force on this instance. */
	readonly effective: () => EffectiveConfiguration;
	/** Returns the active daemons, including this one. */
	readonly members: () => readonly Member[];
	/** Returns the leader's answer to whether the newest revision is in force on all instances; undefined if no leader replies. */
	readonly inForce: () => Promise<InForceStatus | undefined>;
	/** Returns the leader, if known. */
	readonly leader: () => InstanceId | undefined;
	/** Processes and propagates the announcement of a backend server. */
	readonly announce: (announcement: Announcement) => void;
	/** Adds a listener that is called on the leader for each lost instance, and again after a change of leader. */
	readonly onInstanceLost: (listener: (lost: LostInstance) => void) => void;
	/** Announces to other instances that this one is shutting down. */
	readonly drain: () => void;
	/** Handles a message from another daemon and returns the reply. */
	readonly answer: (message: DistributionMessage) => Promise<unknown>;
	readonly stop: () => void;
};

const incarnationRange = 2_147_483_646;

/**
Starts the distribution of configuration, leases, members and servers.

@param base The dependencies that all components share.
@param control The control component.
@returns The component.
@example
```ts
const distribution = startDistribution(base, control);
```
*/
export function startDistribution(base: DaemonBase, control: ControlPart): DistributionPart {
	const {settings: {timing: {configurationLeaseMilliseconds: leaseMilliseconds}, zone, instance}, clock} = base;
	// A random number is shorter in messages than an id; two processes of an instance are unlikely to choose the same one.
	const incarnation = 1 + Math.floor(base.random() * incarnationRange);
	const relay = new ConfigurationRelay({
		instance, zone, incarnation, leaseMilliseconds, suspension: new SuspensionDetector(clock),
	});
	const node = new DistributionNode({
		base, control, relay, incarnation, startedAt: clock.now().getTime(),
	});
	node.lostInstances.addListener(({instance: lost}) => {
		base.log.warn({lost}, 'An instance was declared lost');
	});
	node.start();
	return {
		servers: node.registry.servers,
		active: () => node.configurations.active(),
		effective: () => node.configurations.effective,
		members: () => node.memberMonitor.activeMembers,
		inForce: async () => node.leaderView.inForce() ?? queryInForce(base, node.leader),
		leader: () => node.leader,
		announce(announcement) {
			node.registry.announce(announcement);
		},
		onInstanceLost(listener) {
			node.lostInstances.addListener(listener);
		},
		drain() {
			node.memberMonitor.updateSelf({state: 'draining'});
		},
		async answer(message) {
			try {
				return handleMessage(node, message);
			} catch (error) {
				base.log.error({err: error, type: message.type}, 'Could not process a message from another daemon');
				return undefined;
			}
		},
		stop() {
			node.stop();
		},
	};
}

function handleMessage(node: DistributionNode, message: DistributionMessage): unknown {
	return match(message)
		.with({type: 'exchange'}, ({body}) => encodeReply(node.answer(decodeExchange(body))))
		.with({type: 'news'}, () => {
			node.exchangeLoop.wake();
			return undefined;
		})
		.with({type: 'release'}, ({body}) => {
			node.confirmations.release(body);
			return undefined;
		})
		.with({type: 'in-force'}, () => node.leaderView.inForce())
		.exhaustive();
}
