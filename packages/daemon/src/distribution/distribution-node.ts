import {type Clock, type InstanceId, type ZoneId} from '@valehitch/core';
import {type ConfigurationRelay, type MemberRecord} from '@valehitch/membership';
import {setIntervalAfterPoll, type PeerAddress} from '@valehitch/transport';
import {type ControlPart} from '../control/start-control.js';
import {type DaemonBase} from '../daemon-base.js';
import {ChildNotifier} from './child-notifier.js';
import {ConfigurationStore} from './configuration-store.js';
import {createRegistry} from './create-registry.js';
import {ExchangeLoop} from './exchange-loop.js';
import {LeaderView} from './leader-view.js';
import {LeaseConfirmations} from './lease-confirmations.js';
import {LeaseMonitor} from './lease-monitor.js';
import {LostInstanceNotifier} from './lost-instance-notifier.js';
import {MemberMonitor} from './member-monitor.js';
import {type Exchange, type ExchangeReply} from './messages.js';
import {parentAddresses} from './parent-addresses.js';
import {RelayNode} from './relay-node.js';
import {type ServerRegistry} from './server-registry.js';
import {
	createLoadDigest, createRecordDigest, joinedMembersAmong, memberKey,
} from './shared-records.js';

/** Options of a {@linkcode DistributionNode}. */
export type DistributionNodeOptions = {
	readonly base: DaemonBase;
	readonly control: ControlPart;
	readonly relay: ConfigurationRelay;
	/** When this process started, as Unix time in milliseconds. */
	readonly startedAt: number;
	/** A positive number that identifies this process in exchanges. */
	readonly incarnation: number;
};

const exchangesPerLease = 8;
const childExpiryPeriods = 4;
const ownZoneLoadMilliseconds = 5000;
const otherZoneLoadMilliseconds = 60_000;

/**
Connects the objects of the distribution component of one instance and runs its timers.

@example
```ts
const node = new DistributionNode({base, control, relay, startedAt, incarnation});
node.start();
```
*/
export class DistributionNode {
	/** The configuration of this instance. */
	readonly configurations: ConfigurationStore;
	/** The state that this instance contributes as a control instance or as the leader. */
	readonly leaderView: LeaderView;
	/** The registry of backend servers. */
	readonly registry: ServerRegistry;
	/** The periodic exchanges with the parent. */
	readonly exchangeLoop: ExchangeLoop;
	/** The members and their failure detection. */
	readonly memberMonitor: MemberMonitor;
	/** The lease confirmations exchanged with parents and children. */
	readonly confirmations: LeaseConfirmations;
	/** Notifies listeners of lost instances. */
	readonly lostInstances = new LostInstanceNotifier();
	readonly #options: DistributionNodeOptions;
	readonly #clock: Clock;
	readonly #zone: ZoneId;
	readonly #periodMilliseconds: number;
	readonly #records = createRecordDigest();
	readonly #loads = createLoadDigest();
	readonly #childNotifier: ChildNotifier;
	readonly #leaseMonitor: LeaseMonitor;
	readonly #relayNode: RelayNode;
	#leaderHint: InstanceId | undefined;
	#stopTicking: (() => void) | undefined;

	constructor(options: DistributionNodeOptions) {
		const {base, control, relay} = options;
		const {clock, log, timeline, settings: {timing, zone}} = base;
		this.#options = options;
		this.#clock = clock;
		this.#zone = zone;
		this.#periodMilliseconds = timing.configurationLeaseMilliseconds / exchangesPerLease;
		this.configurations = new ConfigurationStore({
			clock, log, timeline, relay, leaseMilliseconds: timing.configurationLeaseMilliseconds,
		});
		this.leaderView = new LeaderView({
			base, control, configurations: this.configurations, relay, zones: () => [...new Set([zone, ...this.memberMonitor.activeMembers.map(member => member.zone)])],
		});
		this.#leaseMonitor = new LeaseMonitor({clock, relay, timeline});
		this.confirmations = this.#createConfirmations();
		this.#childNotifier = this.#createChildNotifier();
		this.registry = this.#createRegistry();
		this.#relayNode = this.#createRelayNode();
		this.exchangeLoop = this.#createExchangeLoop();
		this.memberMonitor = this.#createMemberMonitor();
	}

	/** The leader, if known. */
	get leader(): InstanceId | undefined {
		return this.leaderView.leader ?? this.#leaderHint;
	}

	/** Starts the exchanges and the periodic checks. */
	start(): void {
		this.#options.control.onApplied(() => {
			this.#refresh();
		});
		this.exchangeLoop.start();
		// The tick detects failures by the lack of messages, so it runs after pending input is read.
		this.#stopTicking = setIntervalAfterPoll(this.#periodMilliseconds, () => {
			this.#tick();
		});
	}

	/** Stops the exchanges and the periodic checks. */
	stop(): void {
		this.#stopTicking?.();
		this.exchangeLoop.stop();
		this.#childNotifier.stop();
	}

	/**
	Replies to an exchange of a child.

	@param exchange The exchange.
	@returns The reply.
	*/
	answer(exchange: Exchange): ExchangeReply {
		const child = exchange.question.instance;
		const now = this.#clock.monotonic();
		this.#refresh();
		const reply = this.confirmations.track(() => this.#relayNode.answer(exchange, now));
		this.memberMonitor.recordContact(child);
		this.exchangeLoop.markAlive([child]);
		this.#childNotifier.recordContact(child);
		const {leader} = this;
		return leader === undefined ? reply : {...reply, leader};
	}

	#tick(): void {
		const isLeader = this.#refresh();
		this.memberMonitor.detectFailures();
		this.registry.expire();
		this.#relayNode.prune(this.#clock.monotonic());
		this.#leaseMonitor.check();
		if (isLeader) {
			this.lostInstances.update(this.memberMonitor.members);
		}
	}

	/** Applies the configuration committed by the control role; returns whether this instance is the leader. */
	#refresh(): boolean {
		const {relay} = this.#options;
		const before = relay.revision;
		const isLeader = this.leaderView.refresh();
		this.configurations.activateNewest({granted: false});
		if (relay.revision !== before) {
			this.#propagate();
		}

		return isLeader;
	}

	/** Propagates updates: notifies the children and starts an exchange with the parent. */
	#propagate(from?: InstanceId): void {
		this.#childNotifier.notify(from === undefined ? {} : {except: from});
		this.exchangeLoop.wake();
	}

	#applyUpdates(keys: readonly string[], from: InstanceId): void {
		this.registry.applyRecords(keys);
		this.exchangeLoop.markAlive(joinedMembersAmong(this.#records, keys));
		this.memberMonitor.refute();
		this.#propagate(from);
	}

	#handleReply(parent: InstanceId, reply: ExchangeReply): void {
		this.confirmations.releaseFormerParents();
		this.memberMonitor.recordContact(parent);
		if (reply.leader !== undefined) {
			this.#leaderHint = reply.leader;
		} else if (this.#leaderHint === parent) {
			this.#leaderHint = undefined;
		}

		if (this.memberMonitor.self.parent !== parent && this.#parentCandidates()[0]?.instance === parent) {
			this.memberMonitor.updateSelf({parent});
		}

		this.#leaseMonitor.check();
	}

	#parentCandidates(): PeerAddress[] {
		const {base: {settings}} = this.#options;
		return this.leaderView.isLeader ? [] : parentAddresses({memberMonitor: this.memberMonitor, settings, leader: this.leader});
	}

	#memberRecord(instance: InstanceId): MemberRecord | undefined {
		const record = this.#records.get(memberKey(instance));
		return record?.kind === 'member' ? record.member : undefined;
	}

	#createConfirmations(): LeaseConfirmations {
		const {base: {network, settings}, relay} = this.#options;
		return new LeaseConfirmations({
			clock: this.#clock,
			relay,
			network,
			// Control instances can be reached by their configured address before they are known as members.
			addressOf: instance => this.#memberRecord(instance) ?? settings.control.find(seed => seed.instance === instance),
			onChange: () => {
				this.exchangeLoop.wake();
			},
		});
	}

	#createChildNotifier(): ChildNotifier {
		return new ChildNotifier({
			clock: this.#clock,
			forgetMilliseconds: this.#periodMilliseconds * childExpiryPeriods,
			send: child => {
				const address = this.#memberRecord(child);
				if (address !== undefined) {
					this.#options.base.network.send(address, {scope: 'distribution', type: 'news'});
				}
			},
		});
	}

	#createRegistry(): ServerRegistry {
		return createRegistry(this.#options.base, {
			records: this.#records,
			loads: this.#loads,
			isLost: holder => this.memberMonitor.isLost(holder),
			onChange: () => {
				this.#propagate();
			},
		});
	}

	#createRelayNode(): RelayNode {
		const {relay, incarnation} = this.#options;
		return new RelayNode({
			configurations: this.configurations,
			relay,
			records: this.#records,
			loads: this.#loads,
			incarnation,
			loadIntervalMilliseconds: peer => this.#memberRecord(peer)?.zone === this.#zone ? ownZoneLoadMilliseconds : otherZoneLoadMilliseconds,
			onRecords: (keys, from) => {
				this.#applyUpdates(keys, from);
			},
			onLoads: servers => {
				this.registry.applyLoads(servers);
			},
			onRevision: from => {
				this.#propagate(from);
			},
		});
	}

	#createExchangeLoop(): ExchangeLoop {
		const {base: {log, network}, relay} = this.#options;
		return new ExchangeLoop({
			clock: this.#clock,
			network,
			node: this.#relayNode,
			periodMilliseconds: this.#periodMilliseconds,
			candidates: () => this.#parentCandidates(),
			isLeaseValid: () => relay.isLeaseValid(this.#clock.monotonic()),
			onReply: (parent, reply) => {
				this.#handleReply(parent, reply);
			},
			onNoReply: parent => {
				if (parent === this.#leaderHint) {
					this.#leaderHint = undefined;
				}
			},
			onError(error) {
				log.error({err: error}, 'Could not process a reply from another daemon');
			},
		});
	}

	#createMemberMonitor(): MemberMonitor {
		const {base: {self, settings: {region}}, startedAt} = this.#options;
		return new MemberMonitor({
			clock: this.#clock,
			records: this.#records,
			self: {
				...self, region, startedAt, sequence: 0, state: 'joined',
			},
			periodMilliseconds: this.#periodMilliseconds,
			isLeader: () => this.leaderView.isLeader,
			onChange: () => {
				this.#propagate();
			},
		});
	}
}
