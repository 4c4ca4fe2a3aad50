import {
	instanceOf, isLeader, knownLeader, leaseValidUntil, planReplacement, readIndex, type ReplicaId, type ReplicaSet, type ReplicaState, toReplicaId,
} from '@valehitch/consensus';
import {type Command, type CommandAnswer, ControlState} from '@valehitch/control';
import {
	type Failure, failure, type InstanceId, SuspensionWatch, toId,
} from '@valehitch/core';
import {
	type ReplicaDelivery, ReplicaDriver, StateMachine, StepWaiters,
} from '@valehitch/replication';
import {type Either, Left} from 'purify-ts';
import {decodeCommand, encodeCommand} from './_encode-command.js';
import {Candidates} from './candidates.js';
import {type AppliedListener, type ControlHostOptions} from './control-host-options.js';
import {searchGroup} from './group-search.js';
import {type JoinMessage, type JoinReply} from './messages.js';
import {LeadershipWatch} from './leadership-watch.js';
import {replicaTiming} from './replica-timing.js';

/** A part of the heartbeat interval, so that a heartbeat is late by no more than that. */
const tickMilliseconds = 250;
const searchMilliseconds = 250;
const commitMilliseconds = 1500;
const retryMilliseconds = 500;
const tailEntries = 100;
const mostWaiting = 4096;
const seedRange = 2 ** 31;

/**
Hosts a replica of the control state: time, links and the data folder around the pure parts.

@example
```ts
const host = new ControlHost(options);
host.start();
const result = await host.propose(command);
```
*/
export class ControlHost {
	readonly #options: ControlHostOptions;
	readonly #self: ReplicaId;
	readonly #machine: StateMachine<Command, CommandAnswer, ControlState>;
	readonly #driver: ReplicaDriver;
	readonly #candidates: Candidates;
	readonly #watch: LeadershipWatch;
	readonly #suspension: SuspensionWatch;
	readonly #listeners = new Set<AppliedListener>();
	readonly #steps = new StepWaiters();
	#timers: NodeJS.Timeout[] = [];
	#hasBegun = false;
	#isStopped = false;

	constructor(options: ControlHostOptions) {
		const {base, folder} = options;
		const {identity, hardState, snapshot, entries} = folder.takeStored();
		this.#options = options;
		this.#self = toReplicaId(base.settings.instance, identity);
		this.#candidates = new Candidates({clock: base.clock, control: base.settings.control.map(({instance}) => instance)});
		this.#watch = new LeadershipWatch(base);
		this.#suspension = new SuspensionWatch(base.clock);
		this.#machine = new StateMachine<Command, CommandAnswer, ControlState>({
			create: data => data === undefined ? new ControlState() : ControlState.fromSnapshot(data),
			decode: decodeCommand,
			onApplied: applied => {
				for (const listener of this.#listeners) {
					listener(applied);
				}
			},
			onReplicas: replicas => {
				this.#watch.noteReplicas(replicas);
			},
		});
		if (snapshot !== undefined) {
			this.#machine.restore(snapshot);
		}

		this.#driver = new ReplicaDriver({
			start: {
				id: this.#self, hardState, snapshot, entries, options: {...replicaTiming, tailEntries}, seed: Math.floor(base.random() * seedRange),
			},
			folder,
			clock: base.clock,
			send: (to, message) => {
				options.send(toId<InstanceId>(instanceOf(to)), {from: this.#self, to, message});
			},
			apply: actions => {
				this.#machine.apply(actions);
			},
			onStepped: state => {
				this.#stepped(state);
			},
			onFailure: failed => {
				this.#fail(failed);
			},
		});
	}

	/** The control state as far as it is applied here. */
	get state(): ControlState {
		return this.#machine.state;
	}

	/** The leader that this replica knows of. */
	get leader(): InstanceId | undefined {
		const leader = knownLeader(this.#driver.state);
		return leader === undefined || this.#isStopped ? undefined : toId<InstanceId>(instanceOf(leader));
	}

	/** Milliseconds on the monotonic clock until which no other replica can lead; undefined where this one holds no lease. */
	get leaseValidUntil(): number | undefined {
		return this.#isStopped ? undefined : leaseValidUntil(this.#driver.state, {validSince: this.#suspension.lastWake()});
	}

	/** Whether this replica leads under a valid lease, with everything applied that was committed before its term. */
	get isLeader(): boolean {
		const {role} = this.#driver.state;
		return role.type === 'leader' && this.#machine.appliedIndex >= role.termStartIndex && this.#readIndex() !== undefined;
	}

	/** Starts the ticks, and the search for a group where this replica has none. */
	start(): void {
		this.#timers = [
			setInterval(() => {
				this.#tick();
			}, tickMilliseconds),
			setInterval(() => {
				void this.#search();
			}, searchMilliseconds),
		];
		void this.#search();
	}

	/** Stops the replica once its steps in progress are on the disk, and closes the folder. */
	async stop(): Promise<void> {
		this.#isStopped = true;
		for (const timer of this.#timers) {
			clearInterval(timer);
		}

		await this.#driver.stop();
		this.#steps.wake();
		await this.#options.folder.close();
	}

	/**
	Has a command committed and applied, where this replica leads.

	@param command The command.
	@returns What it gave; a failure `no-quorum` says with its outcome whether it may still be committed.
	*/
	async propose(command: Command): Promise<Either<Failure, CommandAnswer>> {
		if (!this.isLeader) {
			return Left(failure('no-quorum', 'Got a command on a replica without a valid lease, wanted it on the leader', {retryAfterMilliseconds: retryMilliseconds}));
		}

		if (this.#machine.waitingCount >= mostWaiting) {
			return Left(failure('overloaded', `Got a command while ${mostWaiting} wait to be committed, wanted fewer`, {retryAfterMilliseconds: retryMilliseconds}));
		}

		const proposalId = this.#options.base.newId();
		const result = this.#machine.resultOf(proposalId);
		this.#driver.push({type: 'propose', proposals: [{proposalId, data: encodeCommand(command)}]});
		const timer = setTimeout(() => {
			this.#machine.giveUp(proposalId, failure('no-quorum', `Got no quorum in ${commitMilliseconds} ms, wanted the command committed`, {
				outcome: 'unknown', retryAfterMilliseconds: retryMilliseconds,
			}));
		}, commitMilliseconds);
		const settled = await result;
		clearTimeout(timer);
		return settled;
	}

	/**
	Waits until everything is applied here that was committed when the call began.

	@returns Whether the state may be read as the newest; false where this replica does not lead.
	*/
	async catchUp(): Promise<boolean> {
		const index = this.#readIndex();
		if (index === undefined) {
			return false;
		}

		while (!this.#isStopped && this.#machine.appliedIndex < index) {
			await this.#steps.next();
		}

		return !this.#isStopped;
	}

	/**
	Adds a listener for the commands that are applied here.

	@param listener Told of each command.
	@returns Takes the listener away.
	*/
	onApplied(listener: AppliedListener): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/**
	Takes a message of another replica; one to a former identity of this instance is dropped.

	@param envelope The message.
	*/
	receive({from, to, message}: ReplicaDelivery): void {
		if (to === this.#self && !this.#isStopped) {
			this.#driver.push({type: 'message', from, message});
		}
	}

	/**
	Answers a replica that looks for its group, and remembers that it is there.

	@param message Who asks.
	@returns What this replica is.
	*/
	join({replica, billsHeldUpTo}: JoinMessage): JoinReply {
		this.#candidates.note(replica, billsHeldUpTo);
		const {log: {snapshot}} = this.#driver.state;
		return {
			replica: this.#self,
			isEmpty: this.#isEmpty(),
			...(snapshot?.lastIndex === 0 && {initial: snapshot.replicas}),
		};
	}

	#isEmpty(): boolean {
		const {replicas, hardState, log} = this.#driver.state;
		return replicas === undefined && hardState.term === 0 && log.entries.length === 0 && !this.#hasBegun;
	}

	#readIndex(): number | undefined {
		const now = this.#options.base.clock.monotonic();
		return this.#isStopped ? undefined : readIndex(this.#driver.state, now, {validSince: this.#suspension.lastWake()});
	}

	#tick(): void {
		const {state} = this.#driver;
		this.#driver.push({type: 'tick'});
		this.#watch.note(state);
		const learners = state.replicas?.learners ?? [];
		const present = this.#candidates.ready(learners, this.#machine.state.billPositions.first - 1);
		const change = isLeader(state) ? planReplacement(state, {present}) : undefined;
		if (change !== undefined) {
			this.#driver.push({type: 'change-replicas', change});
		}
	}

	/** A replica that does not vote asks until it does: without a group to find one, as a learner so that the leader knows that it is there. */
	async #search(): Promise<void> {
		const {replicas} = this.#driver.state;
		if (this.#hasBegun || this.#isStopped || replicas?.voters.includes(this.#self) === true) {
			return;
		}

		const isFounding = this.#isEmpty();
		const {base: {settings}, ask, billsHeldUpTo} = this.#options;
		const found = await searchGroup({
			self: this.#self,
			control: settings.control,
			ask: async ({instance}) => ask(instance, {
				scope: 'control', type: 'join', replica: this.#self, billsHeldUpTo: billsHeldUpTo(),
			}),
			isEmpty: () => isFounding && this.#isEmpty(),
		});
		if (found !== undefined && !this.#isStopped) {
			this.#begin(found);
		}
	}

	#begin(replicas: ReplicaSet): void {
		// From here on this replica no longer says that it is empty.
		this.#hasBegun = true;
		this.#driver.push({
			type: 'begin-group', initial: {
				lastIndex: 0, lastTerm: 0, replicas, data: new Uint8Array(),
			},
		});
	}

	#stepped(state: ReplicaState): void {
		this.#watch.note(state);
		this.#steps.wake();
		const {base: {settings: {controlLog}}} = this.#options;
		const {entries, bytes} = this.#machine.sinceSnapshot;
		if (entries >= controlLog.snapshotEntries || bytes >= controlLog.snapshotBytes) {
			this.#machine.snapshotTaken();
			this.#driver.push({type: 'snapshot-taken', lastIndex: this.#machine.appliedIndex, data: this.#machine.state.toSnapshot()});
		}
	}

	#fail(failed: Failure): void {
		this.#isStopped = true;
		this.#steps.wake();
		for (const timer of this.#timers) {
			clearInterval(timer);
		}

		this.#options.onFailure(failed);
	}
}
