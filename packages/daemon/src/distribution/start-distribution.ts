import {
	type Announcement, type EffectiveConfiguration, type InstanceId, SuspensionWatch,
} from '@valehitch/core';
import {ConfigurationRelay, type InForceAnswer, type ServerTable} from '@valehitch/membership';
import {match} from 'ts-pattern';
import {type ControlPart} from '../control/start-control.js';
import {type DaemonBase} from '../daemon-base.js';
import {type Member} from '../member.js';
import {type ActiveConfiguration} from './active-configuration.js';
import {askInForce} from './ask-in-force.js';
import {DistributionNode} from './distribution-node.js';
import {readExchange, writeReply} from './exchange-codec.js';
import {type LostInstance} from './lost-instances.js';
import {type DistributionMessage} from './messages.js';

/** The part of a daemon that knows the configuration, the members and the backend servers. */
export type DistributionPart = {
	readonly servers: ServerTable;
	/** The configuration that requests are served by, and whether it is isolated; undefined before the first. */
	readonly active: () => ActiveConfiguration | undefined;
	/** The newest configuration in force here. */
	readonly effective: () => EffectiveConfiguration;
	/** The daemons that take part, this one included. */
	readonly members: () => readonly Member[];
	/** Whether the newest revision is in force everywhere, by the leader's word; undefined where no leader answers. */
	readonly inForce: () => Promise<InForceAnswer | undefined>;
	/** The leader, where it is known. */
	readonly leader: () => InstanceId | undefined;
	/** Takes what a backend server said of itself, and hands it on. */
	readonly announce: (announcement: Announcement) => void;
	/** Calls the listener on the leader for each instance that was given up; calls again after a change of leader. */
	readonly onInstanceLost: (listener: (lost: LostInstance) => void) => void;
	/** Tells the others that this instance is in a planned stop. */
	readonly drain: () => void;
	/** Answers a message of another daemon. */
	readonly answer: (message: DistributionMessage) => Promise<unknown>;
	readonly stop: () => void;
};

const incarnationRange = 2_147_483_646;

/**
Starts the distribution of configuration, leases, members and servers.

@param base What every part works with.
@param control The control part.
@returns The part.
@example
```ts
const distribution = startDistribution(base, control);
```
*/
export function startDistribution(base: DaemonBase, control: ControlPart): DistributionPart {
	const {settings: {timing: {configurationLeaseMilliseconds: leaseMilliseconds}, zone, instance}, clock} = base;
	// Short on the links; a start is told from another by chance.
	const incarnation = 1 + Math.floor(base.random() * incarnationRange);
	const relay = new ConfigurationRelay({
		instance, zone, incarnation, leaseMilliseconds, suspension: new SuspensionWatch(clock),
	});
	const node = new DistributionNode({
		base, control, relay, incarnation, startedAt: clock.now().getTime(),
	});
	node.lost.listen(({instance: lost}) => {
		base.log.warn({lost}, 'An instance was given up');
	});
	node.start();
	return {
		servers: node.registry.servers,
		active: () => node.keeper.active(),
		effective: () => node.keeper.effective,
		members: () => node.watch.present,
		inForce: async () => node.view.inForce() ?? askInForce(base, node.leader),
		leader: () => node.leader,
		announce(announcement) {
			node.registry.announce(announcement);
		},
		onInstanceLost(listener) {
			node.lost.listen(listener);
		},
		drain() {
			node.watch.update({state: 'draining'});
		},
		async answer(message) {
			try {
				return answerWith(node, message);
			} catch (error) {
				base.log.error({err: error, type: message.type}, 'A message of another daemon could not be answered');
				return undefined;
			}
		},
		stop() {
			node.stop();
		},
	};
}

function answerWith(node: DistributionNode, message: DistributionMessage): unknown {
	return match(message)
		.with({type: 'exchange'}, ({body}) => writeReply(node.answer(readExchange(body))))
		.with({type: 'news'}, () => {
			node.loop.wake();
			return undefined;
		})
		.with({type: 'release'}, ({body}) => {
			node.confirmations.release(body);
			return undefined;
		})
		.with({type: 'in-force'}, () => node.view.inForce())
		.exhaustive();
}
