import {
	type Failure, type InstanceId, type SuspectFingerprint, type ServerId, SuspensionDetector, type ZoneId,
} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import {match, P} from 'ts-pattern';
import {EvidenceTable} from '../rollouts/evidence-table.js';
import {isEnded} from '../rollouts/rollout.js';
import {type VersionEvidence} from '../rollouts/version-evidence.js';
import {noEvacuations} from '../servers/evacuations.js';
import {type ServerRecord} from '../servers/server-record.js';
import {ColdServers} from './cold-servers.js';
import {currentCommandFormat} from './command-formats.js';
import {confirmCaller} from './confirm-caller.js';
import {ControlReplica} from './control-replica.js';
import {type ControlInstanceOptions} from './control-instance-options.js';
import {type GatewayCommand} from './gateway-command.js';
import {type EntryUpdate, EntryWatches} from './entry-watches.js';
import {describeResult, LeaderClient} from './leader-client.js';
import {LimitedServers} from './limited-servers.js';
import {OperatorApi, type OrderOptions} from './operator-api.js';
import {
	type ConfirmReply, type JoinReply, type PeerMessage, type ServersReply, type SuspectsMessage,
} from './peer-message.js';
import {PoolWork} from './pool-work.js';
import {type OpenedDataFolder, ControlReplicaSupervisor} from './control-replica-supervisor.js';
import {RolloutClock} from './rollout-clock.js';
import {RolloutController} from './rollout-controller.js';
import {ServerDirectorySync} from './server-directory-sync.js';
import {StateConfirmation} from './state-confirmation.js';
import {type QuarantineLiftResult, type ListedSuspect, SuspectSync} from './suspect-sync.js';

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
	readonly operators: OperatorApi;
	readonly #options: ControlInstanceOptions;
	readonly #suspension: SuspensionDetector;
	readonly #serverSync: ServerDirectorySync;
	readonly #suspectSync: SuspectSync;
	readonly #rolloutClock: RolloutClock;
	readonly #evidence = new EvidenceTable();
	readonly #discovered = new Set<InstanceId>();
	readonly #leader: LeaderClient;
	readonly #watches: EntryWatches;
	readonly #rolloutController: RolloutController;
	readonly #supervisor: ControlReplicaSupervisor;
	readonly #confirmation: StateConfirmation;
	readonly #coldServers: ColdServers;
	readonly #limitedServers: LimitedServers;
	readonly #poolWork: PoolWork;
	#timers: NodeJS.Timeout[] = [];

	constructor(options: ControlInstanceOptions) {
		this.#options = options;
		this.#suspension = new SuspensionDetector(options.clock);
		this.#poolWork = new PoolWork({...options, others: () => this.#peers()});
		this.#supervisor = new ControlReplicaSupervisor({
			...options,
			createReplica: opened => this.#createReplica(opened),
			onLost: () => {
				this.#confirmation.reset();
			},
		});
		this.#rolloutClock = new RolloutClock(options.clock);
		this.#serverSync = new ServerDirectorySync({
			...options,
			saved: options.savedServers,
			others: () => this.#peers(),
			summaryReaders: this.#poolWork.summaryReaders,
			onChange: () => {
				this.#watches.tellNews();
			},
		});
		this.#suspectSync = new SuspectSync({
			...options,
			saved: options.savedSuspects,
			others: () => this.#peers(),
			onChange: () => {
				this.#watches.answerPending();
			},
		});
		this.#leader = new LeaderClient({...options, replica: () => this.#replica, evidence: () => this.#rolloutEvidence()});
		this.#confirmation = new StateConfirmation({
			clock: options.clock,
			suspension: this.#suspension,
			replica: () => this.#replica,
			readIndex: async () => this.#leader.readIndex(),
			onReconfirmed: () => {
				this.#watches.answerPending();
			},
		});
		this.operators = new OperatorApi({
			...options, leader: this.#leader, confirmation: this.#confirmation, zones: () => this.#zones(),
		});
		this.#coldServers = new ColdServers({
			...options,
			tolerance: options.coldTolerance,
			startedAt: options.processStartedAt,
			directory: this.#serverSync.directory,
			configuration: () => this.#replica?.state.configuration,
			grantors: () => this.#peers().length + 1,
		});
		this.#limitedServers = new LimitedServers({
			...options,
			startedAt: options.processStartedAt,
			directory: this.#serverSync.directory,
			grantors: () => this.#peers().length + 1,
			onChange: () => {
				this.#watches.tellNews();
			},
		});
		this.#watches = new EntryWatches({
			...options, directory: this.#serverSync.directory, suspects: this.#suspectSync.registry, currentUpdate: () => this.#entryUpdate(),
			leases: this.#coldServers.leases, limitedServers: this.#limitedServers,
		});
		this.#rolloutController = new RolloutController({
			log: options.log,
			evidence: this.#evidence,
			rollouts: () => this.#replica?.readIndex() === undefined ? [] : this.#rolloutClock.withAges(this.#replica.state.rollouts),
			advance: async command => this.#leader.proposeLocally(command),
		});
	}

	/** The running replica, or `undefined` while its disk is failing. */
	get #replica(): ControlReplica | undefined {
		return this.#supervisor.current;
	}

	/** Opens the data folder, reads the saved lists, and starts the replica and the periodic tasks. */
	async start(): Promise<void> {
		const lists = [this.#serverSync.start(), this.#suspectSync.start()];
		this.#poolWork.start();
		this.#timers = [
			setInterval(() => {
				void this.#confirmation.confirm();
			}, confirmMilliseconds),
			setInterval(() => {
				void this.#rolloutController.evaluateRollouts();
			}, rolloutMilliseconds),
		];
		await Promise.all([...lists, this.#supervisor.start()]);
	}

	/** Stops the periodic tasks, and the replica after its steps in progress are written to disk. */
	async stop(): Promise<void> {
		this.#serverSync.stop();
		this.#suspectSync.stop();
		this.#poolWork.stop();
		for (const timer of this.#timers) {
			clearInterval(timer);
		}

		this.#watches.answerPending();
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
	Lifts the quarantine of a request or a part of prompts.

	@param fingerprint The request or the part.
	@param options The caller.
	@returns Whether the change is saved to disk, or `undefined` if nothing is known of it; `deadline-exceeded` if the caller has left.
	*/
	async liftQuarantine(fingerprint: SuspectFingerprint, {caller}: OrderOptions): Promise<Either<Failure, QuarantineLiftResult | undefined>> {
		const confirmed = await confirmCaller(caller, {...this.#options, order: `end of the quarantine of ${fingerprint}`});
		return confirmed.isLeft() ? Left(confirmed.extract()) : Right(await this.#suspectSync.liftQuarantine(fingerprint));
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
				return this.#replica?.handleJoin(join);
			})
			.with({type: 'confirm'}, ({evidence, commandFormat}): ConfirmReply => {
				this.#leader.formats.record(from, commandFormat);
				this.#evidence.merge(evidence);
				return {index: this.#replica?.readIndex(), commandFormat: currentCommandFormat};
			})
			.with({type: 'propose'}, async ({command}) => this.#leader.handleProposal(command))
			.with({type: 'servers'}, async (servers): Promise<ServersReply> => {
				this.#serverSync.receive(servers);
				await this.#serverSync.saveShutdowns();
				this.#poolWork.summaryReaders.record(from, {canRead: servers.takesWorkSummaries === true});
				return {run: this.#options.run, takesWorkSummaries: true, takesServerRows: true};
			})
			.with({type: 'server-ended'}, async ({server}) => {
				this.#serverSync.markEnded(server);
				await this.#serverSync.saveShutdowns();
				return true;
			})
			.with({type: 'all-servers'}, () => this.#serverSync.allServersReply)
			.with({type: 'suspects'}, suspects => {
				this.#suspectSync.receive(suspects);
				return true;
			})
			.with({type: 'all-suspects'}, (): SuspectsMessage => ({type: 'suspects', records: this.#suspectSync.registry.sharedRecords, isRelayed: true}))
			.with({type: 'watch'}, async watch => {
				this.#evidence.merge(watch.evidence);
				this.#limitedServers.receive(watch.serverLimits ?? [], from);
				return this.#watches.answer(from, watch);
			})
			.with({type: 'work-report'}, report => this.#poolWork.answer(from, report))
			.with({type: 'work-summary'}, summary => {
				this.#poolWork.receive(from, summary);
				return true;
			})
			.with({type: 'load'}, {type: 'server-notice'}, {type: 'borrow-sends'}, {type: 'relay-stopping'}, () => undefined)
			.exhaustive();
	}

	#createReplica({folder, lastAcknowledgedAt, onFailure}: OpenedDataFolder): ControlReplica {
		const {log, clock, random, self, isFounding, processStartedAt, seeds, send, toleratedLosses} = this.#options;
		return new ControlReplica({
			self, folder, clock, random, log, lastAcknowledgedAt, isFounding, processStartedAt, onFailure, toleratedLosses,
			suspension: this.#suspension,
			initialMembers: seeds(),
			peers: () => this.#peers(),
			send,
			requestJoin: async (to, message) => this.#join(to, message),
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
			.with({type: 'set-evacuation'}, ({zone, isEvacuated}) => {
				log('evacuation-adopted', {
					target: zone, isEvacuated, index, result,
				}, 'warn');
				if (!isEvacuated) {
					this.#coldServers.requireReports(zone);
				}
			})
			.exhaustive();
		this.#rolloutClock.withAges(this.#replica?.state.rollouts ?? []);
		this.#watches.answerPending();
		void this.#confirmation.confirm();
	}

	/** The zones of the settings and those of the known servers. */
	#zones(): readonly ZoneId[] {
		return [...new Set([...this.#options.zones(), ...this.#serverSync.directory.records.map(({zone}) => zone)])];
	}

	#entryUpdate(): EntryUpdate {
		// Without a configuration and its confirmation, entry instances send no request, which may be one that the previous run quarantined.
		const state = this.#suspectSync.isRestored ? this.#replica?.state : undefined;
		return {
			configuration: state?.configuration,
			rollouts: this.#rolloutClock.withAges(state?.rollouts ?? []),
			evacuations: state?.evacuations ?? noEvacuations,
			confirmedAt: state === undefined ? undefined : this.#confirmation.confirmedAt,
			hosts: [this.#options.self, ...this.#peers()],
		};
	}

	/** The counters that the leader needs to evaluate the running rollouts. */
	#rolloutEvidence(): readonly VersionEvidence[] {
		const rollouts = this.#replica?.state.rollouts ?? [];
		return rollouts.filter(rollout => !isEnded(rollout)).flatMap(({service}) => this.#evidence.forService(service));
	}
}
