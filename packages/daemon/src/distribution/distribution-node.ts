import {type Clock, type InstanceId, type ZoneId} from '@valehitch/core';
import {type ConfigurationRelay, type MemberRecord} from '@valehitch/membership';
import {intervalAfterInput, type PeerAddress} from '@valehitch/transport';
import {type ControlPart} from '../control/start-control.js';
import {type DaemonBase} from '../daemon-base.js';
import {ChildNews} from './child-news.js';
import {ConfigurationKeeper} from './configuration-keeper.js';
import {createRegistry} from './create-registry.js';
import {ExchangeLoop} from './exchange-loop.js';
import {LeaderView} from './leader-view.js';
import {LeaseConfirmations} from './lease-confirmations.js';
import {LeaseWatch} from './lease-watch.js';
import {LostInstances} from './lost-instances.js';
import {MemberWatch} from './member-watch.js';
import {type Exchange, type ExchangeReply} from './messages.js';
import {parentAddresses} from './parent-addresses.js';
import {RelayNode} from './relay-node.js';
import {type ServerRegistry} from './server-registry.js';
import {
	createLoadDigest, createRecordDigest, joinedAmong, memberKey,
} from './shared-records.js';

/** Options of a {@linkcode DistributionNode}. */
export type DistributionNodeOptions = {
	readonly base: DaemonBase;
	readonly control: ControlPart;
	readonly relay: ConfigurationRelay;
	/** When this process started, in milliseconds since the Unix epoch. */
	readonly startedAt: number;
	/** A positive number that identifies this process in exchanges. */
	readonly incarnation: number;
};

const exchangesPerLease = 8;
const periodsToForgetChild = 4;
const ownZoneLoadMilliseconds = 5000;
const otherZoneLoadMilliseconds = 60_000;

/**
Connects the components of the distribution part of one instance and runs its timers.

@example
```ts
const node = new DistributionNode({base, control, relay, startedAt, incarnation});
node.start();
```
*/
export class DistributionNode {
	/** The configuration of this instance. */
	readonly keeper: ConfigurationKeeper;
	/** The state that this instance contributes as a control instance or as the leader. */
	readonly view: LeaderView;
	/** The registry of backend servers. */
	readonly registry: ServerRegistry;
	/** The periodic exchanges with the parent. */
	readonly loop: ExchangeLoop;
	/** The members and their failure detection. */
	readonly watch: MemberWatch;
	/** The lease confirmations exchanged with parents and children. */
	readonly confirmations: LeaseConfirmations;
	/** Notifies listeners of lost instances. */
	readonly lost = new LostInstances();
	readonly #options: DistributionNodeOptions;
	readonly #clock: Clock;
	readonly #zone: ZoneId;
	readonly #periodMilliseconds: number;
	readonly #records = createRecordDigest();
	readonly #loads = createLoadDigest();
	readonly #childNotifier: ChildNews;
	readonly #leaseMonitor: LeaseWatch;
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
		this.keeper = new ConfigurationKeeper({
			clock, log, timeline, relay, leaseMilliseconds: timing.configurationLeaseMilliseconds,
		});
		this.view = new LeaderView({
			base, control, keeper: this.keeper, relay, zones: () => [...new Set([zone, ...this.watch.present.map(member => member.zone)])],
		});
		this.#leaseMonitor = new LeaseWatch({clock, relay, timeline});
		this.confirmations = this.#createConfirmations();
		this.#childNotifier = this.#createChildNotifier();
		this.registry = this.#createRegistry();
		this.#relayNode = this.#createRelayNode();
		this.loop = this.#createExchangeLoop();
		this.watch = this.#createMemberMonitor();
	}

	/** The leader, if known. */
	get leader(): InstanceId | undefined {
		return this.view.leader ?? this.#leaderHint;
	}

	/** Starts the exchanges and the periodic checks. */
	start(): void {
		this.#options.control.onApplied(() => {
			this.#refresh();
		});
		this.loop.start();
		// The tick detects failures by the lack of messages, so it runs after pending input is read.
		this.#stopTicking = intervalAfterInput(this.#periodMilliseconds, () => {
			this.#tick();
		});
	}

	/** Stops the exchanges and the periodic checks. */
	stop(): void {
		this.#stopTicking?.();
		this.loop.stop();
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
		this.watch.heard(child);
		this.loop.noteAlive([child]);
		this.#childNotifier.heard(child);
		const {leader} = this;
		return leader === undefined ? reply : {...reply, leader};
	}

	#tick(): void {
		const leads = this.#refresh();
		this.watch.judge();
		this.registry.judge();
		this.#relayNode.prune(this.#clock.monotonic());
		this.#leaseMonitor.note();
		if (leads) {
			this.lost.look(this.watch.members);
		}
	}

	/** Applies the configuration committed by the control role; returns whether this instance leads. */
	#refresh(): boolean {
		const {relay} = this.#options;
		const before = relay.revision;
		const leads = this.view.refresh();
		this.keeper.settle({granted: false});
		if (relay.revision !== before) {
			this.#propagate();
		}

		return leads;
	}

	/** Propagates updates: notifies the children and starts an exchange with the parent. */
	#propagate(from?: InstanceId): void {
		this.#childNotifier.tell(from === undefined ? {} : {except: from});
		this.loop.wake();
	}

	#applyUpdates(keys: readonly string[], from: InstanceId): void {
		this.registry.takeRecords(keys);
		this.loop.noteAlive(joinedAmong(this.#records, keys));
		this.watch.refute();
		this.#propagate(from);
	}

	#handleReply(parent: InstanceId, reply: ExchangeReply): void {
		this.confirmations.releaseFormerParents();
		this.watch.heard(parent);
		if (reply.leader !== undefined) {
			this.#leaderHint = reply.leader;
		} else if (this.#leaderHint === parent) {
			this.#leaderHint = undefined;
		}

		if (this.watch.self.parent !== parent && this.#parentCandidates()[0]?.instance === parent) {
			this.watch.update({parent});
		}

		this.#leaseMonitor.note();
	}

	#parentCandidates(): PeerAddress[] {
		const {base: {settings}} = this.#options;
		return this.view.leads ? [] : parentAddresses({watch: this.watch, settings, leader: this.leader});
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
				this.loop.wake();
			},
		});
	}

	#createChildNotifier(): ChildNews {
		return new ChildNews({
			clock: this.#clock,
			forgetMilliseconds: this.#periodMilliseconds * periodsToForgetChild,
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
			isLost: holder => this.watch.isLost(holder),
			onChange: () => {
				this.#propagate();
			},
		});
	}

	#createRelayNode(): RelayNode {
		const {relay, incarnation} = this.#options;
		return new RelayNode({
			keeper: this.keeper,
			relay,
			records: this.#records,
			loads: this.#loads,
			incarnation,
			loadIntervalMilliseconds: peer => this.#memberRecord(peer)?.zone === this.#zone ? ownZoneLoadMilliseconds : otherZoneLoadMilliseconds,
			onNews: (keys, from) => {
				this.#applyUpdates(keys, from);
			},
			onLoads: servers => {
				this.registry.takeLoads(servers);
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
			onSilence: parent => {
				if (parent === this.#leaderHint) {
					this.#leaderHint = undefined;
				}
			},
			onError(error) {
				log.error({err: error}, 'Could not process a reply from another daemon');
			},
		});
	}

	#createMemberMonitor(): MemberWatch {
		const {base: {self, settings: {region}}, startedAt} = this.#options;
		return new MemberWatch({
			clock: this.#clock,
			records: this.#records,
			self: {
				...self, region, startedAt, sequence: 0, state: 'joined',
			},
			periodMilliseconds: this.#periodMilliseconds,
			isLeader: () => this.view.leads,
			onChange: () => {
				this.#propagate();
			},
		});
	}
}
