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

/** The time between two questions to the leader about what is newest. */
const confirmMilliseconds = 200;
const joinTimeoutMilliseconds = 400;
/** The time between two looks at the running roll-outs. */
const judgeMilliseconds = 150;

/**
One control instance: its replica of the gateway's state, the directory of backend servers, and the answers to operators, backend servers and entry instances.

@example
```ts
const control = new ControlInstance(options);
await control.start();
await control.operators.submitConfiguration(configuration, document);
```
*/
export class ControlInstance {
	/** What operators ask for. */
	readonly operators: OperatorCalls;
	readonly #options: ControlInstanceOptions;
	readonly #suspension: SuspensionWatch;
	readonly #news: ServerNews;
	readonly #suspects: SuspectNews;
	readonly #rolloutClock: RolloutClock;
	readonly #evidence = new EvidenceTable();
	readonly #learned = new Set<InstanceId>();
	readonly #leader: LeaderClient;
	readonly #watches: EntryWatches;
	readonly #judge: RolloutJudge;
	readonly #holder: ReopeningGroup;
	readonly #confirmation: StateConfirmation;
	#timers: NodeJS.Timeout[] = [];

	constructor(options: ControlInstanceOptions) {
		this.#options = options;
		this.#suspension = new SuspensionWatch(options.clock);
		this.#holder = new ReopeningGroup({
			...options,
			createGroup: opened => this.#createGroup(opened),
			onLost: () => {
				this.#confirmation.forget();
			},
		});
		this.#rolloutClock = new RolloutClock(options.clock);
		this.#news = new ServerNews({
			...options,
			saved: options.savedServers,
			others: () => this.#others(),
			onChange: () => {
				this.#watches.wake();
			},
		});
		this.#suspects = new SuspectNews({
			...options,
			saved: options.savedSuspects,
			others: () => this.#others(),
			onChange: () => {
				this.#watches.wake();
			},
		});
		this.#leader = new LeaderClient({...options, group: () => this.#group, evidence: () => this.#neededEvidence()});
		this.#confirmation = new StateConfirmation({
			clock: options.clock,
			suspension: this.#suspension,
			group: () => this.#group,
			newestIndex: async () => this.#leader.newestIndex(),
			onRegained: () => {
				this.#watches.wake();
			},
		});
		this.operators = new OperatorCalls({...options, leader: this.#leader, confirmation: this.#confirmation});
		this.#watches = new EntryWatches({
			...options, directory: this.#news.directory, suspects: this.#suspects.book, news: () => this.#entryNews(),
		});
		this.#judge = new RolloutJudge({
			log: options.log,
			evidence: this.#evidence,
			rollouts: () => this.#group?.confirmedIndex() === undefined ? [] : this.#rolloutClock.running(this.#group.state.rollouts),
			advance: async command => this.#leader.proposeHere(command),
		});
	}

	/** The replica; undefined while its disk fails. */
	get #group(): ControlGroup | undefined {
		return this.#holder.current;
	}

	/** Opens the data folder, reads the saved lists, and starts the replica and the rounds. */
	async start(): Promise<void> {
		const lists = [this.#news.start(), this.#suspects.start()];
		this.#timers = [
			setInterval(() => {
				void this.#confirmation.confirm();
			}, confirmMilliseconds),
			setInterval(() => {
				void this.#judge.look();
			}, judgeMilliseconds),
		];
		await Promise.all([...lists, this.#holder.start()]);
	}

	/** Stops the rounds, and the replica once its steps in progress are on the disk. */
	async stop(): Promise<void> {
		this.#news.stop();
		this.#suspects.stop();
		for (const timer of this.#timers) {
			clearInterval(timer);
		}

		this.#watches.wake();
		await this.#holder.stop();
	}

	/**
	Takes the announcement of a backend server; one of a shutdown is known to the other control instances when this returns.

	@param record What the server said.
	*/
	async announce(record: ServerRecord): Promise<void> {
		this.#options.metrics.announcements.inc({state: record.state});
		await this.#news.announce(record);
	}

	/**
	Notes an announcement that could not be read: it changes nothing of what servers said.

	@param refusal The id that it was sent for, and the first problem with its field.
	*/
	refuseAnnouncement({server, reason}: {readonly server: string; readonly reason: string}): void {
		this.#options.metrics.announcements.inc({state: 'refused'});
		this.#options.log('announcement-refused', {server, reason}, 'warn');
	}

	/**
	Takes the notice that a backend server ends.

	@param server The server.
	*/
	async removeServer(server: ServerId): Promise<void> {
		this.#options.metrics.announcements.inc({state: 'gone'});
		await this.#news.remove(server);
	}

	/** Lists the requests that end servers, as far as instances are told of them, once the disk holds them. */
	async listSuspects(): Promise<readonly ListedSuspect[]> {
		return this.#suspects.list();
	}

	/**
	Lifts the quarantine of a request.

	@param fingerprint The request.
	@returns Whether it is on the disk; undefined where nothing was known of the request.
	*/
	async liftQuarantine(fingerprint: RequestFingerprint): Promise<LiftedQuarantine | undefined> {
		return this.#suspects.lift(fingerprint);
	}

	/**
	Answers another instance.

	@param from The instance.
	@param message The message.
	@returns The reply; undefined where none is wanted.
	*/
	async answer(from: InstanceId, message: PeerMessage): Promise<unknown> {
		return match(message)
			.with({type: 'replica'}, envelope => {
				this.#learned.add(from);
				this.#group?.receive(envelope);
			})
			.with({type: 'join'}, join => {
				this.#learned.add(from);
				return this.#group?.join(join);
			})
			.with({type: 'confirm'}, ({evidence}): ConfirmReply => {
				this.#evidence.take(evidence);
				return {index: this.#group?.confirmedIndex()};
			})
			.with({type: 'propose'}, async ({command}) => this.#leader.replyTo(command))
			.with({type: 'servers'}, (servers): ServersReply => {
				this.#news.receive(servers);
				return {run: this.#options.run};
			})
			.with({type: 'server-ended'}, ({server}) => {
				this.#news.end(server);
				return true;
			})
			.with({type: 'all-servers'}, () => this.#news.all)
			.with({type: 'suspects'}, suspects => {
				this.#suspects.receive(suspects);
				return true;
			})
			.with({type: 'all-suspects'}, (): SuspectsMessage => ({type: 'suspects', records: this.#suspects.book.told, isRelayed: true}))
			.with({type: 'watch'}, async watch => {
				this.#evidence.take(watch.evidence);
				return this.#watches.answer(from, watch);
			})
			.with({type: 'load'}, () => undefined)
			.exhaustive();
	}

	#createGroup({folder, lastAcknowledgedAt, onFailure}: OpenedFolder): ControlGroup {
		const {log, clock, random, self, isFounding, seeds, send} = this.#options;
		return new ControlGroup({
			self, folder, clock, random, log, lastAcknowledgedAt, isFounding, onFailure,
			suspension: this.#suspension,
			founders: seeds(),
			peers: () => this.#others(),
			send,
			join: async (to, message) => this.#join(to, message),
			onApplied: ({command, result, index}) => {
				this.#noteApplied({command, index, result: describeResult(result)});
			},
		});
	}

	async #join(to: InstanceId, message: PeerMessage): Promise<JoinReply | undefined> {
		const reply = await this.#options.ask(to, message, joinTimeoutMilliseconds) as JoinReply | undefined;
		for (const host of reply?.hosts ?? []) {
			this.#learned.add(host as InstanceId);
		}

		return reply;
	}

	/** All other control instances that are known: by the settings, by the log and by their messages. */
	#others(): readonly InstanceId[] {
		const {self, seeds} = this.#options;
		const members = this.#group?.members ?? [];
		// Who is no longer in the log may be gone for good, so the log goes first where there is one.
		const known = members.length > 0 ? [...seeds(), ...members] : [...seeds(), ...this.#learned];
		return [...new Set(known)].filter(instance => instance !== self);
	}

	#noteApplied({command, index, result}: {readonly command: GatewayCommand; readonly index: number; readonly result: string}): void {
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
		this.#rolloutClock.running(this.#group?.state.rollouts ?? []);
		this.#watches.wake();
		void this.#confirmation.confirm();
	}

	#entryNews(): EntryNews {
		const state = this.#group?.state;
		return {
			configuration: state?.configuration,
			rollouts: this.#rolloutClock.running(state?.rollouts ?? []),
			confirmedAt: state === undefined ? undefined : this.#confirmation.confirmedAt,
			hosts: [this.#options.self, ...this.#others()],
		};
	}

	/** What the leader needs to judge the roll-outs that run. */
	#neededEvidence(): readonly VersionEvidence[] {
		const rollouts = this.#group?.state.rollouts ?? [];
		return rollouts.filter(rollout => !isEnded(rollout)).flatMap(({service}) => this.#evidence.of(service));
	}
}
