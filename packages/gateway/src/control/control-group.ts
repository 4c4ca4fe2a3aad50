import {
	instanceOf, isLeader, knownLeader, planMembership, readIndex, type ReplicaId, type ReplicaSet, type ReplicaState, toReplicaId,
} from '@valehitch/consensus';
import {
	type Failure, failure, type InstanceId, toId,
} from '@valehitch/core';
import {
	readReplicaMessage, ReplicaDriver, StateMachine, StepWaiters, writeReplicaMessage,
} from '@valehitch/replication';
import {type Either, Left, Right} from 'purify-ts';
import {type ControlGroupOptions} from './control-group-options.js';
import {
	decodeGatewayCommand, encodeGatewayCommand, type GatewayAnswer, type GatewayCommand,
} from './gateway-command.js';
import {foundGroup} from './found-group.js';
import {GatewayState} from './gateway-state.js';
import {groupTiming} from './group-timing.js';
import {JoiningReplicas} from './joining-replicas.js';
import {type JoinMessage, type JoinReply, type ReplicaEnvelope} from './peer-message.js';

/** A third of the heartbeat interval, so that a heartbeat is late by no more than that. */
const tickMilliseconds = 25;
const searchMilliseconds = 250;
/** Time to commit one command; the caller's own timeout is a second. */
const commitMilliseconds = 900;
const retryMilliseconds = 300;
/** A voter that heard from no leader for this long may have been removed, and asks to be taken in again. */
const orphanedMilliseconds = 3000;
/** Log since the last snapshot after which the next is taken, against a disk of some 100 MB. */
const snapshotBytes = 2_000_000;
const snapshotEntries = 400;
const seedRange = 2 ** 31;

/**
One replica of the gateway's state, with the search for its group and the care for its members.

@example
```ts
const group = new ControlGroup(options);
group.start();
await group.propose({type: 'put-configuration', version: 1, document: '{}'});
```
*/
export class ControlGroup {
	readonly #options: ControlGroupOptions;
	readonly #self: ReplicaId;
	readonly #machine: StateMachine<GatewayCommand, GatewayAnswer, GatewayState>;
	readonly #driver: ReplicaDriver;
	readonly #steps = new StepWaiters();
	readonly #joining = new JoiningReplicas();
	#timers: NodeJS.Timeout[] = [];
	#lastLeader: ReplicaId | undefined;
	#proposals = 0;
	#hasBegun = false;
	#isSearching = false;
	#isStopped = false;

	constructor(options: ControlGroupOptions) {
		const {self, folder, clock, random, lastAcknowledgedAt} = options;
		const {identity, hardState, snapshot, entries} = folder.takeStored();
		this.#options = options;
		this.#self = toReplicaId(self, identity);
		this.#machine = new StateMachine<GatewayCommand, GatewayAnswer, GatewayState>({
			create: data => new GatewayState(data),
			decode: decodeGatewayCommand,
			onApplied: options.onApplied,
			onReplicas: replicas => {
				this.#noteReplicas(replicas);
			},
		});
		if (snapshot !== undefined) {
			this.#machine.restore(snapshot);
		}

		this.#driver = new ReplicaDriver({
			start: {
				id: this.#self, hardState, snapshot, entries, lastAcknowledgedAt, options: groupTiming, seed: Math.floor(random() * seedRange),
			},
			folder,
			clock,
			send: (to, message) => {
				options.send(toId<InstanceId>(instanceOf(to)), {
					type: 'replica', from: this.#self, to, message: writeReplicaMessage(message),
				});
			},
			apply: actions => {
				this.#machine.apply(actions);
			},
			onStepped: state => {
				this.#stepped(state);
			},
			onFailure: failed => {
				this.#isStopped = true;
				this.#steps.wake();
				options.onFailure(failed);
			},
		});
	}

	/** The state as far as it is applied here. */
	get state(): GatewayState {
		return this.#machine.state;
	}

	/** The index of the last applied entry. */
	get appliedIndex(): number {
		return this.#machine.appliedIndex;
	}

	/** The instance of the leader that this replica knows of. */
	get leader(): InstanceId | undefined {
		const leader = this.#isStopped ? undefined : knownLeader(this.#driver.state);
		return leader === undefined ? undefined : toId<InstanceId>(instanceOf(leader));
	}

	/** The instances of all replicas in the log. */
	get members(): readonly InstanceId[] {
		const {voters, learners} = this.#driver.state.replicas ?? {voters: [], learners: []};
		return [...voters, ...learners].map(replica => toId<InstanceId>(instanceOf(replica)));
	}

	/** Starts the ticks and the search for the group. */
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

	/** The index that was committed at the time of the call; undefined where this replica holds no valid lease. */
	confirmedIndex(): number | undefined {
		const {clock, suspension} = this.#options;
		// A leader that was suspended may have been replaced: one round of heartbeats shows it.
		return this.#isStopped ? undefined : readIndex(this.#driver.state, clock.monotonic(), {validSince: suspension.lastWake()});
	}

	/**
	Waits until an index is applied here.

	@param index The index.
	@param until Milliseconds on the monotonic clock after which to give up.
	@returns Whether it is applied.
	*/
	async applied(index: number, until: number): Promise<boolean> {
		while (!this.#isStopped && this.#machine.appliedIndex < index && this.#options.clock.monotonic() < until) {
			await this.#steps.next();
		}

		return this.#machine.appliedIndex >= index;
	}

	/**
	Has a command committed and applied, where this replica leads.

	@param command The command.
	@returns What it gave; a failure `no-quorum` says with its outcome whether it may still be committed.
	*/
	async propose(command: GatewayCommand): Promise<Either<Failure, GatewayAnswer>> {
		const confirmedIndex = this.confirmedIndex();
		if (confirmedIndex === undefined) {
			return Left(failure('no-quorum', 'Got a command on a replica without a valid lease, wanted it on the leader', {retryAfterMilliseconds: retryMilliseconds}));
		}

		// Operators send a change again that was committed late; with a slow disk another entry would be late as well.
		const known = this.#machine.appliedIndex >= confirmedIndex ? this.state.answerOf(command) : undefined;
		if (known !== undefined) {
			return Right(known);
		}

		const proposalId = String(++this.#proposals);
		const result = this.#machine.resultOf(proposalId);
		this.#driver.push({type: 'propose', proposals: [{proposalId, data: encodeGatewayCommand(command)}]});
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
	Takes a message of another replica; one to a former identity of this instance is dropped.

	@param envelope The message.
	*/
	receive({from, to, message}: ReplicaEnvelope): void {
		if (to === this.#self && !this.#isStopped) {
			this.#driver.push({type: 'message', from, message: readReplicaMessage(message)});
		}
	}

	/**
	Answers a replica that looks for its group, and remembers that it is there.

	@param message Who asks.
	@returns What this replica is.
	*/
	join({replica, isFounding}: JoinMessage): JoinReply {
		this.#joining.note({replica, isFounding}, this.#options.clock.monotonic());
		const {log: {snapshot}} = this.#driver.state;
		return {
			replica: this.#self,
			isEmpty: this.#isEmpty(),
			initial: snapshot?.lastIndex === 0 ? snapshot.replicas : undefined,
			hosts: this.#options.peers(),
		};
	}

	#isEmpty(): boolean {
		const {replicas, hardState, log} = this.#driver.state;
		return replicas === undefined && hardState.term === 0 && log.entries.length === 0 && !this.#hasBegun;
	}

	#tick(): void {
		this.#driver.push({type: 'tick'});
		const {state} = this.#driver;
		if (!isLeader(state) || this.#isStopped) {
			return;
		}

		const now = this.#options.clock.monotonic();
		const change = planMembership(state, {joining: this.#joining.present(now), now});
		if (change !== undefined) {
			this.#driver.push({type: 'change-replicas', change});
		}
	}

	/** Asks the others until this replica has a vote and hears from a leader. */
	async #search(): Promise<void> {
		if (this.#isSearching || this.#isStopped || !this.#isWithoutGroup()) {
			return;
		}

		this.#isSearching = true;
		const {self, peers, join, isFounding, founders} = this.#options;
		const others = peers().filter(peer => peer !== self);
		const replies = await Promise.all(others.map(async peer => join(peer, {type: 'join', replica: this.#self, isFounding})));
		this.#isSearching = false;
		const found = replies.flatMap(reply => reply === undefined ? [] : [reply]);
		if (this.#isStopped || this.#driver.state.replicas !== undefined) {
			return;
		}

		const initial = foundGroup({
			self, replica: this.#self, isFounding: isFounding && this.#isEmpty(), founders, replies: found,
		});
		if (initial !== undefined) {
			this.#hasBegun = true;
			this.#driver.push({
				type: 'begin-group', initial: {
					lastIndex: 0, lastTerm: 0, replicas: initial, data: new Uint8Array(),
				},
			});
		}
	}

	#isWithoutGroup(): boolean {
		const {replicas, lastContact, role} = this.#driver.state;
		if (replicas?.voters.includes(this.#self) !== true) {
			return true;
		}

		return role.type !== 'leader' && this.#options.clock.monotonic() - lastContact >= orphanedMilliseconds;
	}

	#stepped(state: ReplicaState): void {
		this.#steps.wake();
		const leader = knownLeader(state);
		if (leader !== this.#lastLeader) {
			this.#lastLeader = leader;
			this.#options.log('leader-changed', {
				leader: leader ?? 'none', term: state.hardState.term, commitIndex: state.commitIndex, isSelf: leader === this.#self,
			});
		}

		const {entries, bytes} = this.#machine.sinceSnapshot;
		if (entries >= snapshotEntries || bytes >= snapshotBytes) {
			this.#machine.snapshotTaken();
			this.#driver.push({type: 'snapshot-taken', lastIndex: this.#machine.appliedIndex, data: this.#machine.state.toSnapshot()});
		}
	}

	#noteReplicas({voters, learners}: ReplicaSet): void {
		this.#options.log('membership-changed', {voters, learners, index: this.#machine.appliedIndex});
	}
}
