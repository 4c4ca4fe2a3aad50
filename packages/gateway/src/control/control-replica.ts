import {
	instanceOf, isLeader, knownLeader, planMembership, readIndex, type ReplicaId, type ReplicaSet, type ReplicaState, toReplicaId,
} from '@valehitch/consensus';
import {
	type Failure, failure, type InstanceId, toId,
} from '@valehitch/core';
import {
	decodeReplicaMessage, ReplicaDriver, StateMachine, StepNotifier, encodeReplicaMessage,
} from '@valehitch/replication';
import {type Either, Left, Right} from 'purify-ts';
import {type ControlReplicaOptions} from './control-replica-options.js';
import {
	decodeGatewayCommand, encodeGatewayCommand, type GatewayCommandResult, type GatewayCommand,
} from './gateway-command.js';
import {bootstrapReplicaSet} from './bootstrap-replica-set.js';
import {GatewayState} from './gateway-state.js';
import {replicaTiming} from './replica-timing.js';
import {JoiningReplicas} from './joining-replicas.js';
import {type JoinMessage, type JoinReply, type ReplicaEnvelope} from './peer-message.js';

/** A third of the heartbeat interval, so that a heartbeat is sent at most one tick late. */
const tickMilliseconds = 25;
const joinMilliseconds = 250;
/** The time allowed to commit a command; callers time out after one second. */
const commitTimeoutMilliseconds = 900;
const retryMilliseconds = 300;
/** A voter that has not heard from a leader for this long may have been removed from the group, and requests to rejoin. */
const rejoinMilliseconds = 3000;
/** The time after the start of its process in which a founding replica may take the place of one that was started again, in milliseconds. Later, empty members are rather ones that lost their disks. */
const standInMilliseconds = 60_000;
/** The size of the log since the last snapshot at which the next one is taken; bounds the log for disks of about 100 MB. */
const snapshotBytes = 2_000_000;
const snapshotEntries = 400;
const seedRange = 2 ** 31;

/**
A replica of the gateway's state. It bootstraps or joins its group, and manages the group membership while it is the leader.

@example
```ts
const replica = new ControlReplica(options);
replica.start();
await replica.propose({type: 'put-configuration', version: 1, document: '{}'});
```
*/
export class ControlReplica {
	readonly #options: ControlReplicaOptions;
	readonly #self: ReplicaId;
	readonly #machine: StateMachine<GatewayCommand, GatewayCommandResult, GatewayState>;
	readonly #driver: ReplicaDriver;
	readonly #stepNotifier = new StepNotifier();
	readonly #joining = new JoiningReplicas();
	#timers: NodeJS.Timeout[] = [];
	#lastLeader: ReplicaId | undefined;
	#proposalCount = 0;
	#isBootstrapped = false;
	#isRequestingToJoin = false;
	#isStopped = false;

	constructor(options: ControlReplicaOptions) {
		const {self, folder, clock, random, lastAcknowledgedAt} = options;
		const {identity, hardState, snapshot, entries} = folder.takeStoredState();
		this.#options = options;
		this.#self = toReplicaId(self, identity);
		this.#machine = new StateMachine<GatewayCommand, GatewayCommandResult, GatewayState>({
			create: data => new GatewayState(data),
			decode: decodeGatewayCommand,
			onApplied: options.onApplied,
			onReplicas: replicas => {
				this.#logReplicas(replicas);
			},
		});
		if (snapshot !== undefined) {
			this.#machine.restore(snapshot);
		}

		this.#driver = new ReplicaDriver({
			replica: {
				id: this.#self, hardState, snapshot, entries, lastAcknowledgedAt, options: replicaTiming, seed: Math.floor(random() * seedRange),
			},
			folder,
			clock,
			send: (to, message) => {
				options.send(toId<InstanceId>(instanceOf(to)), {
					type: 'replica', from: this.#self, to, message: encodeReplicaMessage(message),
				});
			},
			apply: actions => {
				this.#machine.apply(actions);
			},
			onStepsCompleted: state => {
				this.#handleStep(state);
			},
			onFailure: failed => {
				this.#isStopped = true;
				this.#stepNotifier.notifyAll();
				options.onFailure(failed);
			},
		});
	}

	/** The state up to the last locally applied entry. */
	get state(): GatewayState {
		return this.#machine.state;
	}

	/** The index of the last applied entry. */
	get appliedIndex(): number {
		return this.#machine.appliedIndex;
	}

	/** The instance of the leader, if known to this replica. */
	get leader(): InstanceId | undefined {
		const leader = this.#isStopped ? undefined : knownLeader(this.#driver.state);
		return leader === undefined ? undefined : toId<InstanceId>(instanceOf(leader));
	}

	/** The instances of all members of the group, voters and learners. */
	get members(): readonly InstanceId[] {
		const {voters, learners} = this.#driver.state.replicas ?? {voters: [], learners: []};
		return [...voters, ...learners].map(replica => toId<InstanceId>(instanceOf(replica)));
	}

	/** Starts the tick timer and the requests to join a group. */
	start(): void {
		this.#timers = [
			setInterval(() => {
				this.#tick();
			}, tickMilliseconds),
			setInterval(() => {
				void this.#requestToJoin();
			}, joinMilliseconds),
		];
		void this.#requestToJoin();
	}

	/** Stops the replica after its steps in progress are written to disk, and closes the data folder. */
	async stop(): Promise<void> {
		this.#isStopped = true;
		for (const timer of this.#timers) {
			clearInterval(timer);
		}

		await this.#driver.stop();
		this.#stepNotifier.notifyAll();
		await this.#options.folder.close();
	}

	/** The commit index at the time of the call, or `undefined` if this replica holds no valid leader lease. */
	readIndex(): number | undefined {
		const {clock, suspension} = this.#options;
		// A leader may have been replaced while its machine was suspended; its lease counts again only after a heartbeat round since then.
		return this.#isStopped ? undefined : readIndex(this.#driver.state, clock.monotonic(), {validSince: suspension.lastWake()});
	}

	/**
	Waits until an index is applied locally.

	@param index The index.
	@param deadline The time until which to wait, in milliseconds on the monotonic clock.
	@returns Whether the index is applied.
	*/
	async applied(index: number, deadline: number): Promise<boolean> {
		while (!this.#isStopped && this.#machine.appliedIndex < index && this.#options.clock.monotonic() < deadline) {
			await this.#stepNotifier.waitForNext();
		}

		return this.#machine.appliedIndex >= index;
	}

	/**
	Proposes a command and waits until it is committed and applied; this replica must be the leader.

	@param command The command.
	@returns The result; the `outcome` of a `no-quorum` failure says whether the command may still be committed.
	*/
	async propose(command: GatewayCommand): Promise<Either<Failure, GatewayCommandResult>> {
		const confirmedIndex = this.readIndex();
		if (confirmedIndex === undefined) {
			return Left(failure('no-quorum', 'The command cannot be committed: this replica is not a leader with a valid lease', {retryAfterMilliseconds: retryMilliseconds}));
		}

		// Operators retry a change that was committed too late; on a slow disk, appending another entry would be too late as well.
		const unchanged = this.#machine.appliedIndex >= confirmedIndex ? this.state.answerWithoutCommit(command) : undefined;
		if (unchanged !== undefined) {
			return Right(unchanged);
		}

		const proposalId = String(++this.#proposalCount);
		const result = this.#machine.waitForResult(proposalId);
		this.#driver.push({type: 'propose', proposals: [{proposalId, data: encodeGatewayCommand(command)}]});
		const timer = setTimeout(() => {
			this.#machine.cancelWait(proposalId, failure('no-quorum', `The command was not committed by a quorum within ${commitTimeoutMilliseconds} ms; it may still be committed`, {
				outcome: 'unknown', retryAfterMilliseconds: retryMilliseconds,
			}));
		}, commitTimeoutMilliseconds);
		const settled = await result;
		clearTimeout(timer);
		return settled;
	}

	/**
	Handles a message from another replica; drops it if it is addressed to a former identity of this instance.

	@param envelope The message.
	*/
	receive({from, to, message}: ReplicaEnvelope): void {
		if (to === this.#self && !this.#isStopped) {
			this.#driver.push({type: 'message', from, message: decodeReplicaMessage(message)});
		}
	}

	/**
	Handles a join request, and records that the requesting replica is waiting.

	@param message The join request.
	@returns The state of this replica.
	*/
	handleJoin({replica, isFounding}: JoinMessage): JoinReply {
		this.#joining.record({replica, isFounding}, this.#options.clock.monotonic());
		const {log: {snapshot}} = this.#driver.state;
		return {
			replica: this.#self,
			isEmpty: this.#isEmpty(),
			isFounding: this.#options.isFounding,
			initial: snapshot?.lastIndex === 0 ? snapshot.replicas : undefined,
			hosts: this.#options.peers(),
		};
	}

	#isEmpty(): boolean {
		const {replicas, hardState, log} = this.#driver.state;
		return replicas === undefined && hardState.term === 0 && log.entries.length === 0 && !this.#isBootstrapped;
	}

	#tick(): void {
		this.#driver.push({type: 'tick'});
		const {state} = this.#driver;
		if (!isLeader(state) || this.#isStopped) {
			return;
		}

		const now = this.#options.clock.monotonic();
		const change = planMembership(state, {joining: this.#joining.active(now), now, toleratedLosses: this.#options.toleratedLosses});
		if (change !== undefined) {
			this.#driver.push({type: 'change-replicas', change});
		}
	}

	/** Sends join requests to the other instances if this replica is not a voter, or is one that has lost contact with the leader. */
	async #requestToJoin(): Promise<void> {
		if (this.#isRequestingToJoin || this.#isStopped || !this.#needsToJoin()) {
			return;
		}

		this.#isRequestingToJoin = true;
		const {self, peers, requestJoin, isFounding, initialMembers} = this.#options;
		const others = peers().filter(peer => peer !== self);
		const replies = await Promise.all(others.map(async peer => requestJoin(peer, {type: 'join', replica: this.#self, isFounding})));
		this.#isRequestingToJoin = false;
		const received = replies.flatMap(reply => reply === undefined ? [] : [reply]);
		if (this.#isStopped || this.#driver.state.replicas !== undefined) {
			return;
		}

		const initial = bootstrapReplicaSet({
			self,
			replica: this.#self,
			isFounding: isFounding && this.#isEmpty(),
			mayStandIn: this.#options.clock.monotonic() - this.#options.processStartedAt < standInMilliseconds,
			initialMembers,
			replies: received,
		});
		if (initial !== undefined) {
			this.#isBootstrapped = true;
			this.#driver.push({
				type: 'begin-group', initial: {
					lastIndex: 0, lastTerm: 0, replicas: initial, data: new Uint8Array(),
				},
			});
		}
	}

	#needsToJoin(): boolean {
		const {replicas, lastContact, role} = this.#driver.state;
		if (replicas?.voters.includes(this.#self) !== true) {
			return true;
		}

		return role.type !== 'leader' && this.#options.clock.monotonic() - lastContact >= rejoinMilliseconds;
	}

	#handleStep(state: ReplicaState): void {
		this.#stepNotifier.notifyAll();
		const leader = knownLeader(state);
		if (leader !== this.#lastLeader) {
			this.#lastLeader = leader;
			this.#options.log('leader-changed', {
				leader: leader ?? 'none', term: state.hardState.term, commitIndex: state.commitIndex, isSelf: leader === this.#self,
			});
		}

		const {entries, bytes} = this.#machine.sinceSnapshot;
		if (entries >= snapshotEntries || bytes >= snapshotBytes) {
			this.#machine.resetSnapshotCounters();
			this.#driver.push({type: 'snapshot-taken', lastIndex: this.#machine.appliedIndex, data: this.#machine.state.toSnapshot()});
		}
	}

	#logReplicas({voters, learners}: ReplicaSet): void {
		this.#options.log('membership-changed', {voters, learners, index: this.#machine.appliedIndex});
	}
}
