import {Buffer} from 'node:buffer';
import {confirmContact} from '../confirm-contact.js';
import {createReplica} from '../create-replica.js';
import {leaseValidUntil} from '../lease-valid-until.js';
import {
	type HardState, type LogEntry, type ReplicaSet, type Snapshot,
} from '../log-entry.js';
import {readIndex} from '../read-index.js';
import {type PersistAction, type ReplicaActions} from '../replica-action.js';
import {type ReplicaEvent} from '../replica-event.js';
import {type ReplicaId, toReplicaId} from '../replica-id.js';
import {type ReplicaOptions} from '../replica-options.js';
import {type ReplicaState} from '../replica-state.js';
import {step} from '../step.js';
import {commandsOf, type Oracle} from './_oracle.js';

/** Times are units of virtual time. The drift margin covers the clock rates below. */
export const options: ReplicaOptions = {
	minimumElectionTimeout: 100, maximumElectionTimeout: 150, heartbeatInterval: 20, driftMargin: 10, maximumAppendBytes: 40, maximumInFlight: 2, trailingEntries: 3,
};
const clockRates = [0.956, 1, 1.044, 0.97, 1.03];

type Disk = {
	identity: number;
	hardState: HardState | undefined;
	snapshot: Snapshot | undefined;
	entries: readonly LogEntry[];
};

/** The options of a node. */
export type NodeOptions = {
	readonly position: number;
	readonly replicas: ReplicaSet | undefined;
	readonly oracle: Oracle;
	readonly onMessage: (from: ReplicaId, sent: ReplicaActions['messages'][number]) => void;
};

/** A simulated host with a replica, its disk and its pending actions. */
export class Node {
	state: ReplicaState | undefined;
	frozenUntil = 0;
	restartAt = 0;
	syncDelay = 0;
	/** The additional delay of all messages that this node sends. */
	sendDelay = 0;
	readonly disk: Disk = {
		identity: 0, hardState: undefined, snapshot: undefined, entries: [],
	};

	readonly #options: NodeOptions;
	#time = 0;
	#pending: Array<{readonly due: number; readonly actions: ReplicaActions}> = [];
	#applied = 0;
	/** When the node crashed last, by its own clock. Zero before the first run, which is safe because a node that never ran acknowledged nothing. */
	#crashedAt = 0;
	#commands: string[] = [];

	constructor(nodeOptions: NodeOptions) {
		this.#options = nodeOptions;
	}

	get id(): ReplicaId {
		return toReplicaId(`i${this.#options.position}`, `${this.disk.identity}`);
	}

	get appliedIndex(): number {
		return this.#applied;
	}

	get clock(): number {
		return (this.#time * (clockRates[this.#options.position] ?? 1)) + (this.#options.position * 1000);
	}

	get isAwake(): boolean {
		return this.state !== undefined && this.#time >= this.frozenUntil;
	}

	get hasLease(): boolean {
		const until = this.state && leaseValidUntil(this.state);
		return until !== undefined && this.clock < until;
	}

	/** Advances to a time: starts the replica if its restart is due, and executes the actions whose sync has completed. */
	advance(time: number): void {
		this.#time = time;
		if (!this.state && time >= this.restartAt) {
			this.#start();
		}

		while (this.isAwake && (this.#pending[0]?.due ?? Number.POSITIVE_INFINITY) <= time) {
			this.#execute(this.#pending.shift()!.actions);
		}
	}

	handle(event: ReplicaEvent): ReplicaActions | undefined {
		if (this.isAwake) {
			this.#confirmContact(event);
		}

		// The node may have been crashed on sending the confirmation.
		if (!this.state || !this.isAwake) {
			return undefined;
		}

		const {state, actions} = step(this.state, event, this.clock);
		this.state = state;
		if (state.role.type === 'leader') {
			this.#options.oracle.recordLeader(state.hardState.term, state.id);
		}

		this.#pending.push({due: this.#time + this.syncDelay, actions});
		this.advance(this.#time);
		return actions;
	}

	/** Checks that a read under a valid lease includes all acknowledged entries. */
	checkRead(): void {
		const index = this.state && readIndex(this.state, this.clock);
		const {lastIndex} = this.#options.oracle;
		if (index !== undefined && index < lastIndex) {
			throw new Error(`Stale read from ${this.id} at index ${index}: index ${lastIndex} is acknowledged`);
		}
	}

	crash(restartAt: number): void {
		this.state = undefined;
		this.#crashedAt = this.clock;
		this.#pending = [];
		this.restartAt = restartAt;
		this.frozenUntil = 0;
	}

	wipe(restartAt: number): void {
		this.crash(restartAt);
		this.disk.identity++;
		this.disk.hardState = undefined;
		this.disk.snapshot = undefined;
		this.disk.entries = [];
	}

	takeSnapshot(): void {
		if (this.#applied > 0) {
			this.handle({type: 'snapshot-taken', lastIndex: this.#applied, data: Buffer.from(JSON.stringify(this.#commands))});
		}
	}

	#confirmContact(event: ReplicaEvent): void {
		if (!this.state || this.#pending.length === 0 || event.type !== 'message' || event.message.type !== 'append-request') {
			return;
		}

		const {from, message: request} = event;
		const contact = confirmContact(this.state, {
			from, request, persistedHardState: this.disk.hardState ?? {term: 0}, now: this.clock,
		});
		if (contact) {
			this.state = contact.state;
			this.#options.onMessage(this.id, {to: from, message: contact.reply});
		}
	}

	#start(): void {
		const {hardState, snapshot, entries} = this.disk;
		const {position, replicas} = this.#options;
		this.#restore(snapshot);
		this.state = createReplica({
			id: this.id, replicas, hardState, snapshot, entries, lastAcknowledgedAt: this.#crashedAt, options, seed: position + (this.#time * 7),
		}, this.clock);
	}

	#restore(snapshot: Snapshot | undefined): void {
		this.#applied = snapshot?.lastIndex ?? 0;
		this.#commands = snapshot ? JSON.parse(Buffer.from(snapshot.data).toString()) as string[] : [];
		this.#options.oracle.checkRestore(this.#commands, this.#applied);
	}

	#execute({persist, messages, committed, restore}: ReplicaActions): void {
		if (persist) {
			this.#write(persist);
		}

		if (restore) {
			this.#restore(restore);
		}

		for (const entry of committed) {
			if (entry.index !== this.#applied + 1) {
				throw new Error(`${this.id} applies entry ${entry.index} out of order: expected ${this.#applied + 1}`);
			}

			this.#options.oracle.recordCommit(entry, this.id);
			this.#applied = entry.index;
			this.#commands.push(...commandsOf([entry]));
		}

		for (const sent of messages) {
			if (!this.state) {
				// The node was crashed on sending the previous message.
				return;
			}

			this.#options.onMessage(this.id, sent);
		}
	}

	#write({hardState, entries, snapshot, discardsLog}: PersistAction): void {
		const {disk} = this;
		disk.hardState = hardState ?? disk.hardState;
		const [first] = entries;
		if (first) {
			disk.entries = [...disk.entries.filter(({index}) => index < first.index), ...entries];
		}

		if (snapshot) {
			disk.snapshot = snapshot;
			disk.entries = discardsLog ? [] : disk.entries.filter(({index}) => index > snapshot.lastIndex - 2);
		}
	}
}
