import {Buffer} from 'node:buffer';
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
import {step} from '../replica.js';
import {commandsOf, type Oracle} from './_oracle.js';

/** Times in units; the drift margin covers the clock rates below. */
export const options: ReplicaOptions = {
	minimumElectionTimeout: 100, maximumElectionTimeout: 150, heartbeatInterval: 20, driftMargin: 10, maximumAppendBytes: 40, maximumInFlight: 2, tailEntries: 3,
};
const rates = [0.956, 1, 1.044, 0.97, 1.03];

type Disk = {
	identity: number;
	hardState: HardState | undefined;
	snapshot: Snapshot | undefined;
	entries: readonly LogEntry[];
};

/** How a node reaches the others. */
export type NodeOptions = {
	readonly position: number;
	readonly replicas: ReplicaSet | undefined;
	readonly oracle: Oracle;
	readonly onMessage: (from: ReplicaId, sent: ReplicaActions['messages'][number]) => void;
};

/** One host: a replica, its disk, and the actions that are not carried out yet. */
export class Node {
	state: ReplicaState | undefined;
	frozenUntil = 0;
	restartAt = 0;
	syncDelay = 0;
	/** Added to the way of each message that the host sends. */
	lag = 0;
	readonly disk: Disk = {
		identity: 0, hardState: undefined, snapshot: undefined, entries: [],
	};

	readonly #options: NodeOptions;
	#time = 0;
	#pending: Array<{readonly due: number; readonly actions: ReplicaActions}> = [];
	#applied = 0;
	/** On the own clock; a host that never ran acknowledged nothing, but its clock starts at zero. */
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
		return (this.#time * (rates[this.#options.position] ?? 1)) + (this.#options.position * 1000);
	}

	get isAwake(): boolean {
		return this.state !== undefined && this.#time >= this.frozenUntil;
	}

	get hasLease(): boolean {
		const until = this.state && leaseValidUntil(this.state);
		return until !== undefined && this.clock < until;
	}

	/** Goes on to a time: starts when due, and carries out what is synced. */
	advance(time: number): void {
		this.#time = time;
		if (!this.state && time >= this.restartAt) {
			this.#start();
		}

		while (this.isAwake && (this.#pending[0]?.due ?? Number.POSITIVE_INFINITY) <= time) {
			this.#carryOut(this.#pending.shift()!.actions);
		}
	}

	take(event: ReplicaEvent): ReplicaActions | undefined {
		if (!this.state || !this.isAwake) {
			return undefined;
		}

		const {state, actions} = step(this.state, event, this.clock);
		this.state = state;
		if (state.role.type === 'leader') {
			this.#options.oracle.lead(state.hardState.term, state.id);
		}

		this.#pending.push({due: this.#time + this.syncDelay, actions});
		this.advance(this.#time);
		return actions;
	}

	/** A valid lease must let nobody read less than what was acknowledged. */
	checkRead(): void {
		const index = this.state && readIndex(this.state, this.clock);
		const {lastIndex} = this.#options.oracle;
		if (index !== undefined && index < lastIndex) {
			throw new Error(`Got a read at index ${index} from ${this.id}, wanted at least ${lastIndex}`);
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
			this.take({type: 'snapshot-taken', lastIndex: this.#applied, data: Buffer.from(JSON.stringify(this.#commands))});
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
		this.#options.oracle.restore(this.#commands, this.#applied);
	}

	#carryOut({persist, messages, committed, restore}: ReplicaActions): void {
		if (persist) {
			this.#write(persist);
		}

		if (restore) {
			this.#restore(restore);
		}

		for (const entry of committed) {
			if (entry.index !== this.#applied + 1) {
				throw new Error(`Got entry ${entry.index} to apply on ${this.id}, wanted ${this.#applied + 1}`);
			}

			this.#options.oracle.commit(entry, this.id);
			this.#applied = entry.index;
			this.#commands.push(...commandsOf([entry]));
		}

		for (const sent of messages) {
			if (!this.state) {
				// A trap crashed the host between two messages.
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
