import {
	instanceOf, isLeader, knownLeader, leaseValidUntil, planReplacement, readIndex, type ReplicaId, type ReplicaSet, type ReplicaState, toReplicaId,
} from '@valehitch/consensus';
import {type Command, type CommandResponse, ControlState} from '@valehitch/control';
import {
	type Failure, failure, type InstanceId, SuspensionDetector, toId,
} from '@valehitch/core';
import {
	type AddressedReplicaMessage, ReplicaDriver, StateMachine, StepNotifier,
} from '@valehitch/replication';
import {type Either, Left} from 'purify-ts';
import {decodeCommand, encodeCommand} from './_command-codec.js';
import {NonvotingReplicas} from './nonvoting-replicas.js';
import {type AppliedListener, type ControlHostOptions} from './control-host-options.js';
import {discoverGroup} from './discover-group.js';
import {type JoinMessage, type JoinReply} from './messages.js';
import {LeadershipRecorder} from './leadership-recorder.js';
import {replicaTiming} from './replica-timing.js';

/** Shorter than the heartbeat interval, since a heartbeat can be delayed by up to one tick. */
const tickMilliseconds = 250;
const discoveryMilliseconds = 250;
const commitTimeoutMilliseconds = 1500;
const retryAfterMilliseconds = 500;
const tailEntries = 100;
const maximumPendingProposals = 4096;
const seedRange = 2 ** 31;

/**
Hosts a replica of the control state: connects the deterministic consensus code and state machine with the clock, the network and the data folder.

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
	readonly #machine: StateMachine<Command, CommandResponse, ControlState>;
	readonly #driver: ReplicaDriver;
	readonly #nonvoters: NonvotingReplicas;
	readonly #leadership: LeadershipRecorder;
	readonly #suspension: SuspensionDetector;
	readonly #listeners = new Set<AppliedListener>();
	readonly #stepWaiters = new StepNotifier();
	#timers: NodeJS.Timeout[] = [];
	#hasBootstrapped = false;
	#isStopped = false;

	constructor(options: ControlHostOptions) {
		const {base, folder} = options;
		const {identity, hardState, snapshot, entries} = folder.takeStoredState();
		this.#options = options;
		this.#self = toReplicaId(base.settings.instance, identity);
		this.#nonvoters = new NonvotingReplicas({clock: base.clock, control: base.settings.control.map(({instance}) => instance)});
		this.#leadership = new LeadershipRecorder(base);
		this.#suspension = new SuspensionDetector(base.clock);
		this.#machine = new StateMachine<Command, CommandResponse, ControlState>({
			create: data => data === undefined ? new ControlState() : ControlState.fromSnapshot(data),
			decode: decodeCommand,
			onApplied: applied => {
				for (const listener of this.#listeners) {
					listener(applied);
				}
			},
			onReplicas: replicas => {
				this.#leadership.updateReplicas(replicas);
			},
		});
		if (snapshot !== undefined) {
			this.#machine.restore(snapshot);
		}

		this.#driver = new ReplicaDriver({
			replica: {
				id: this.#self, hardState, snapshot, entries, options: {...replicaTiming, trailingEntries: tailEntries}, seed: Math.floor(base.random() * seedRange),
			},
			folder,
			clock: base.clock,
			send: (to, message) => {
				options.send(toId<InstanceId>(instanceOf(to)), {from: this.#self, to, message});
			},
			apply: actions => {
				this.#machine.apply(actions);
			},
			onStepsCompleted: state => {
				this.#onStepped(state);
			},
			onFailure: failed => {
				this.#fail(failed);
			},
		});
	}

	/** The control state as applied on this replica. */
	get state(): ControlState {
		return this.#machine.state;
	}

	/** The leader, if known to this replica. */
	get leader(): InstanceId | undefined {
		const leader = knownLeader(this.#driver.state);
		return leader === undefined || this.#isStopped ? undefined : toId<InstanceId>(instanceOf(leader));
	}

	/** The end of the leader lease of this replica, in milliseconds of the monotonic clock; no other replica can lead before that. Undefined if it has no lease. */
	get leaseValidUntil(): number | undefined {
		return this.#isStopped ? undefined : leaseValidUntil(this.#driver.state, {validSince: this.#suspension.lastWake()});
	}

	/** Whether this replica is the leader, has a valid lease, and has applied all entries that were committed before its term. */
	get isLeader(): boolean {
		const {role} = this.#driver.state;
		return role.type === 'leader' && this.#machine.appliedIndex >= role.termStartIndex && this.#readIndex() !== undefined;
	}

	/** Starts the tick timer, and discovers or bootstraps the group if this replica is not a voter. */
	start(): void {
		this.#timers = [
			setInterval(() => {
				this.#tick();
			}, tickMilliseconds),
			setInterval(() => {
				void this.#discover();
			}, discoveryMilliseconds),
		];
		void this.#discover();
	}

	/** Stops the replica after its pending steps are written to disk, and closes the data folder. */
	async stop(): Promise<void> {
		this.#isStopped = true;
		for (const timer of this.#timers) {
			clearInterval(timer);
		}

		await this.#driver.stop();
		this.#stepWaiters.notifyAll();
		await this.#options.folder.close();
	}

	/**
	Commits and applies a command; works only on the leader.

	@param command The command.
	@returns The result of the command. The outcome of a `no-quorum` failure says whether the command may still be committed.
	*/
	async propose(command: Command): Promise<Either<Failure, CommandResponse>> {
		if (!this.isLeader) {
			return Left(failure('no-quorum', 'This replica has no valid lease; send the command to the leader', {retryAfterMilliseconds}));
		}

		if (this.#machine.pendingCount >= maximumPendingProposals) {
			return Left(failure('overloaded', `${maximumPendingProposals} commands are already waiting to be committed`, {retryAfterMilliseconds}));
		}

		const proposalId = this.#options.base.newId();
		const result = this.#machine.waitForResult(proposalId);
		this.#driver.push({type: 'propose', proposals: [{proposalId, data: encodeCommand(command)}]});
		const timer = setTimeout(() => {
			this.#machine.cancelWait(proposalId, failure('no-quorum', `The command was not committed within ${commitTimeoutMilliseconds} ms`, {
				outcome: 'unknown', retryAfterMilliseconds,
			}));
		}, commitTimeoutMilliseconds);
		const settled = await result;
		clearTimeout(timer);
		return settled;
	}

	/**
	Waits until this replica has applied all entries that were committed when the call started, so that a read is linearizable.

	@returns Whether the state is current; false if this replica is not the leader.
	*/
	async catchUp(): Promise<boolean> {
		const index = this.#readIndex();
		if (index === undefined) {
			return false;
		}

		while (!this.#isStopped && this.#machine.appliedIndex < index) {
			await this.#stepWaiters.waitForNext();
		}

		return !this.#isStopped;
	}

	/**
	Adds a listener for applied commands.

	@param listener Called with each command that this replica applies.
	@returns A function that removes the listener.
	*/
	onApplied(listener: AppliedListener): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/**
	Receives a message from another replica. A message to a former identity of this instance is dropped.

	@param envelope The message with its sender and receiver.
	*/
	receive({from, to, message}: AddressedReplicaMessage): void {
		if (to === this.#self && !this.#isStopped) {
			this.#driver.push({type: 'message', from, message});
		}
	}

	/**
	Handles the join request of a replica without a vote, and records that the replica is live.

	@param message The request.
	@returns The status of this replica.
	*/
	join({replica, billsHeldUpTo}: JoinMessage): JoinReply {
		this.#nonvoters.recordJoin(replica, billsHeldUpTo);
		const {log: {snapshot}} = this.#driver.state;
		return {
			replica: this.#self,
			isEmpty: this.#isEmpty(),
			...(snapshot?.lastIndex === 0 && {initial: snapshot.replicas}),
		};
	}

	#isEmpty(): boolean {
		const {replicas, hardState, log} = this.#driver.state;
		return replicas === undefined && hardState.term === 0 && log.entries.length === 0 && !this.#hasBootstrapped;
	}

	#readIndex(): number | undefined {
		const now = this.#options.base.clock.monotonic();
		return this.#isStopped ? undefined : readIndex(this.#driver.state, now, {validSince: this.#suspension.lastWake()});
	}

	#tick(): void {
		const {state} = this.#driver;
		this.#driver.push({type: 'tick'});
		this.#leadership.update(state);
		const learners = state.replicas?.learners ?? [];
		const present = this.#nonvoters.eligible(learners, this.#machine.state.billPositions.first - 1);
		const change = isLeader(state) ? planReplacement(state, {active: present}) : undefined;
		if (change !== undefined) {
			this.#driver.push({type: 'change-replicas', change});
		}
	}

	/** Sends join requests until this replica is a voter: without a group in order to find one, and as a learner to let the leader know that it is live. */
	async #discover(): Promise<void> {
		const {replicas} = this.#driver.state;
		if (this.#hasBootstrapped || this.#isStopped || replicas?.voters.includes(this.#self) === true) {
			return;
		}

		const mayBootstrap = this.#isEmpty();
		const {base: {settings}, ask, billsHeldUpTo} = this.#options;
		const initial = await discoverGroup({
			self: this.#self,
			control: settings.control,
			ask: async ({instance}) => ask(instance, {
				scope: 'control', type: 'join', replica: this.#self, billsHeldUpTo: billsHeldUpTo(),
			}),
			isEmpty: () => mayBootstrap && this.#isEmpty(),
		});
		if (initial !== undefined && !this.#isStopped) {
			this.#bootstrap(initial);
		}
	}

	#bootstrap(replicas: ReplicaSet): void {
		// From now on, join replies no longer report this replica as empty.
		this.#hasBootstrapped = true;
		this.#driver.push({
			type: 'begin-group', initial: {
				lastIndex: 0, lastTerm: 0, replicas, data: new Uint8Array(),
			},
		});
	}

	#onStepped(state: ReplicaState): void {
		this.#leadership.update(state);
		this.#stepWaiters.notifyAll();
		const {base: {settings: {controlLog}}} = this.#options;
		const {entries, bytes} = this.#machine.sinceSnapshot;
		if (entries >= controlLog.snapshotEntries || bytes >= controlLog.snapshotBytes) {
			this.#machine.resetSnapshotCounters();
			this.#driver.push({type: 'snapshot-taken', lastIndex: this.#machine.appliedIndex, data: this.#machine.state.toSnapshot()});
		}
	}

	#fail(failed: Failure): void {
		this.#isStopped = true;
		this.#stepWaiters.notifyAll();
		for (const timer of this.#timers) {
			clearInterval(timer);
		}

		this.#options.onFailure(failed);
	}
}
