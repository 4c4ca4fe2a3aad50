import {
	type InstanceId, type RequestFingerprint, type ServerId, SuspensionWatch,
} from '@valehitch/core';
import {match, P} from 'ts-pattern';
import {EvidenceTable} from '../rollouts/evidence-table.js';
import {isEnded} from '../rollouts/rollout.js';
import {type VersionEvidence} from '../rollouts/version-evidence.js';
import {type ServerRecord} from '../servers/server-record.js';
import {ControlGroup} from './control-group.js';
import {type ControlInstanceOptions} from './control-instance-options.js';
import {type GatewayCommand} from './gateway-command.js';
import {type EntryNews, EntryWatches} from './entry-watches.js';
import {describeResult, LeaderClient} from './leader-client.js';
import {OperatorCalls} from './operator-calls.js';
import {
	type ConfirmReply, type JoinReply, type PeerMessage, type ServersReply, type SuspectsMessage,
} from './peer-message.js';
import {type OpenedFolder, ReopeningGroup} from './reopening-group.js';
import {RolloutClock} from './rollout-clock.js';
import {RolloutJudge} from './rollout-judge.js';
import {ServerNews} from './server-news.js';
import {StateConfirmation} from './state-confirmation.js';
import {type LiftedQuarantine, type ListedSuspect, SuspectNews} from './suspect-news.js';

/** The interval between confirmations of the state by the leader. */
const confirmMilliseconds = 200;
const joinTimeoutMilliseconds = 400;
/** The interval between evaluations of the running rollouts. */
const rolloutMilliseconds = 150;

/**
A control instance: holds a replica of the gateway's state and the directory of backend servers, and serves operators, backend servers and entry instances.

@example
```ts
const control = new ControlInstance(options);
await control.start();
await control.operators.submitConfiguration(configuration, document);
```
*/
export class ControlInstance {
	/** Serves the requests of operators. */
	readonly operators: OperatorCalls;
	readonly #options: ControlInstanceOptions;
	readonly #suspension: SuspensionWatch;
	readonly #serverSync: ServerNews;
	readonly #suspectSync: SuspectNews;
	readonly #rolloutClock: RolloutClock;
	readonly #evidence = new EvidenceTable();
	readonly #discovered = new Set<InstanceId>();
	readonly #leader: LeaderClient;
	readonly #watches: EntryWatches;
	readonly #rolloutController: RolloutJudge;
	readonly #supervisor: ReopeningGroup;
	readonly #confirmation: StateConfirmation;
	#timers: NodeJS.Timeout[] = [];

	constructor(options: ControlInstanceOptions) {
		this.#options = options;
		this.#suspension = new SuspensionWatch(options.clock);
		this.#supervisor = new ReopeningGroup({
			...options,
			createGroup: opened => this.#createReplica(opened),
			onLost: () => {
				this.#confirmation.forget();
			},
		});
		this.#rolloutClock = new RolloutClock(options.clock);
		this.#serverSync = new ServerNews({
			...options,
			saved: options.savedServers,
			others: () => this.#peers(),
			onChange: () => {
				this.#watches.wake();
			},
		});
		this.#suspectSync = new SuspectNews({
			...options,
			saved: options.savedSuspects,
			others: () => this.#peers(),
			onChange: () => {
				this.#watches.wake();
			},
		});
		this.#leader = new LeaderClient({...options, group: () => this.#replica, evidence: () => this.#rolloutEvidence()});
		this.#confirmation = new StateConfirmation({
			clock: options.clock,
			suspension: this.#suspension,
			group: () => this.#replica,
			newestIndex: async () => this.#leader.newestIndex(),
			onRegained: () => {
				this.#watches.wake();
			},
		});
		this.operators = new OperatorCalls({...options, leader: this.#leader, confirmation: this.#confirmation});
		this.#watches = new EntryWatches({
			...options, directory: this.#serverSync.directory, suspects: this.#suspectSync.book, news: () => this.#entryUpdate(),
		});
		this.#rolloutController = new RolloutJudge({
			log: options.log,
			evidence: this.#evidence,
			rollouts: () => this.#replica?.confirmedIndex() === undefined ? [] : this.#rolloutClock.running(this.#replica.state.rollouts),
			advance: async command => this.#leader.proposeHere(command),
		});
	}

	/** The running replica, or `undefined` while its disk is failing. */
	get #replica(): ControlGroup | undefined {
		return this.#supervisor.current;
	}

	/** Opens the data folder, reads the saved lists, and starts the replica and the periodic tasks. */
	async start(): Promise<void> {
		const lists = [this.#serverSync.start(), this.#suspectSync.start()];
		this.#timers = [
			setInterval(() => {
				void this.#confirmation.confirm();
			}, confirmMilliseconds),
			setInterval(() => {
				void this.#rolloutController.look();
			}, rolloutMilliseconds),
		];
		await Promise.all([...lists, this.#supervisor.start()]);
	}

	/** Stops the periodic tasks, and the replica after its steps in progress are written to disk. */
	async stop(): Promise<void> {
		this.#serverSync.stop();
		this.#suspectSync.stop();
		for (const timer of this.#timers) {
			clearInterval(timer);
		}

		this.#watches.wake();
		await this.#supervisor.stop();
	}

	/**
	Handles the announcement of a backend server. If the server is shutting down, the returned promise resolves after the announcement was sent to the other control instances and saved, or after that timed out.

	@param record The announced record.
	*/
	async announce(record: ServerRecord): Promise<void> {
		this.#options.metrics.announcements.inc({state: record.state});
		await this.#serverSync.announce(record);
	}

	/**
	Records an invalid announcement, which does not change the directory.

	@param refusal The id of the announced server, and the first problem with the field in which it occurs.
	*/
	refuseAnnouncement({server, reason}: {readonly server: string; readonly reason: string}): void {
		this.#options.metrics.announcements.inc({state: 'refused'});
		this.#options.log('announcement-refused', {server, reason}, 'warn');
	}

	/**
	Handles the notice that a backend server is stopping.

	@param server The server.
	*/
	async removeServer(server: ServerId): Promise<void> {
		this.#options.metrics.announcements.inc({state: 'gone'});
		await this.#serverSync.remove(server);
	}

	/** Lists the requests suspected of crashing servers that are shared between instances, after saving them to disk. */
	async listSuspects(): Promise<readonly ListedSuspect[]> {
		return this.#suspectSync.list();
	}

	/**
	Lifts the quarantine of a request.

	@param fingerprint The request.
	@returns Whether the change is saved to disk, or `undefined` if the request is unknown.
	*/
	async liftQuarantine(fingerprint: RequestFingerprint): Promise<LiftedQuarantine | undefined> {
		return this.#suspectSync.lift(fingerprint);
	}

	/**
	Handles a message from another instance.

	@param from The instance.
	@param message The message.
	@returns The reply, or `undefined` if the message has none.
	*/
	async answer(from: InstanceId, message: PeerMessage): Promise<unknown> {
		return match(message)
			.with({type: 'replica'}, envelope => {
				this.#discovered.add(from);
				this.#replica?.receive(envelope);
			})
			.with({type: 'join'}, join => {
				this.#discovered.add(from);
				return this.#replica?.join(join);
			})
			.with({type: 'confirm'}, ({evidence}): ConfirmReply => {
				this.#evidence.take(evidence);
				return {index: this.#replica?.confirmedIndex()};
			})
			.with({type: 'propose'}, async ({command}) => this.#leader.replyTo(command))
			.with({type: 'servers'}, (servers): ServersReply => {
				this.#serverSync.receive(servers);
				return {run: this.#options.run};
			})
			.with({type: 'server-ended'}, ({server}) => {
				this.#serverSync.end(server);
				return true;
			})
			.with({type: 'all-servers'}, () => this.#serverSync.all)
			.with({type: 'suspects'}, suspects => {
				this.#suspectSync.receive(suspects);
				return true;
			})
			.with({type: 'all-suspects'}, (): SuspectsMessage => ({type: 'suspects', records: this.#suspectSync.book.told, isRelayed: true}))
			.with({type: 'watch'}, async watch => {
				this.#evidence.take(watch.evidence);
				return this.#watches.answer(from, watch);
			})
			.with({type: 'load'}, () => undefined)
			.exhaustive();
	}

	#createReplica({folder, lastAcknowledgedAt, onFailure}: OpenedFolder): ControlGroup {
		const {log, clock, random, self, isFounding, seeds, send} = this.#options;
		return new ControlGroup({
			self, folder, clock, random, log, lastAcknowledgedAt, isFounding, onFailure,
			suspension: this.#suspension,
			founders: seeds(),
			peers: () => this.#peers(),
			send,
			join: async (to, message) => this.#join(to, message),
			onApplied: ({command, result, index}) => {
				this.#handleApplied({command, index, result: describeResult(result)});
			},
		});
	}

	async #join(to: InstanceId, message: PeerMessage): Promise<JoinReply | undefined> {
		const reply = await this.#options.ask(to, message, joinTimeoutMilliseconds) as JoinReply | undefined;
		for (const host of reply?.hosts ?? []) {
			this.#discovered.add(host as InstanceId);
		}

		return reply;
	}

	/** All other known control instances: those in the settings, and the members of the group or, without a group, the instances that sent messages. */
	#peers(): readonly InstanceId[] {
		const {self, seeds} = this.#options;
		const members = this.#replica?.members ?? [];
		// An instance that is no longer a member may be gone for good, so the membership takes precedence over discovered instances.
		const known = members.length > 0 ? [...seeds(), ...members] : [...seeds(), ...this.#discovered];
		return [...new Set(known)].filter(instance => instance !== self);
	}

	#handleApplied({command, index, result}: {readonly command: GatewayCommand; readonly index: number; readonly result: string}): void {
		const {log} = this.#options;
		match(command)
			.with({type: 'put-configuration'}, ({version}) => {
				log('configuration-adopted', {version, index, result});
			})
			.with({type: P.union('start-rollout', 'advance-rollout')}, ({service, target, ...rest}) => {
				log('rollout-advanced', {
					service, target, index, stage: 'stage' in rest ? rest.stage : 'canary', result,
				});
			})
			.exhaustive();
		this.#rolloutClock.running(this.#replica?.state.rollouts ?? []);
		this.#watches.wake();
		void this.#confirmation.confirm();
	}

	#entryUpdate(): EntryNews {
		const state = this.#replica?.state;
		return {
			configuration: state?.configuration,
			rollouts: this.#rolloutClock.running(state?.rollouts ?? []),
			confirmedAt: state === undefined ? undefined : this.#confirmation.confirmedAt,
			hosts: [this.#options.self, ...this.#peers()],
		};
	}

	/** The counters that the leader needs to evaluate the running rollouts. */
	#rolloutEvidence(): readonly VersionEvidence[] {
		const rollouts = this.#replica?.state.rollouts ?? [];
		return rollouts.filter(rollout => !isEnded(rollout)).flatMap(({service}) => this.#evidence.of(service));
	}
}
