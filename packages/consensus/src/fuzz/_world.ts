import {Buffer} from 'node:buffer';
import {isLeader} from '../is-leader.js';
import {planReplacement} from '../plan-replacement.js';
import {type ReplicaActions} from '../replica-action.js';
import {instanceOf, type ReplicaId} from '../replica-id.js';
import {type ReplicaMessage} from '../replica-message.js';
import {nextRandom, seedRandom} from '../_random.js';
import {
	committedReplicas, firstReplicas, isSettled, leaseHolder, mayLose,
} from './_group.js';
import {Node} from './_node.js';
import {Oracle} from './_oracle.js';
import {leaderSide, leaderTarget, type Operation} from './_operation.js';

const instances = 5;
const tickInterval = 10;
const planInterval = 20;
const convergenceUnits = 6000;
const shortDelay = 6;
const longDelay = 160;

type Envelope = {readonly due: number; readonly from: ReplicaId; readonly to: ReplicaId; readonly message: ReplicaMessage};

/** Several hosts, an exchange that loses, doubles, delays and reorders, and virtual time. */
export class World {
	readonly oracle = new Oracle();
	readonly nodes: readonly Node[];
	#time = 0;
	#random: number;
	#exchange: Envelope[] = [];
	#cut: number | undefined;
	#noise = 0;
	#trap: Operation | undefined;
	#proposals = 0;

	constructor(seed: number) {
		this.#random = seedRandom(seed);
		this.nodes = Array.from({length: instances}, (_, position) => new Node({
			position,
			replicas: position < firstReplicas.voters.length ? firstReplicas : undefined,
			oracle: this.oracle,
			onMessage: (from, sent) => {
				this.#post(from, sent);
			},
		}));
	}

	get leader(): Node | undefined {
		return leaseHolder(this.nodes);
	}

	perform(operation: Operation): void {
		const node = this.#target(operation);
		switch (operation.type) {
			case 'propose': {
				this.propose(operation.units);
				break;
			}

			case 'crash': {
				node.crash(this.#time + operation.units);
				break;
			}

			case 'freeze': {
				node.frozenUntil = this.#time + operation.units;
				break;
			}

			case 'wipe': {
				if (mayLose(node, {nodes: this.nodes, oracle: this.oracle})) {
					node.wipe(this.#time + operation.units);
				}

				break;
			}

			case 'cut': {
				this.#part(operation.side);
				break;
			}

			case 'isolate': {
				this.#cut = 2 ** this.nodes.indexOf(node);
				break;
			}

			case 'lag': {
				node.lag = operation.units;
				break;
			}

			case 'trap': {
				this.#trap = operation;
				break;
			}

			case 'heal': {
				this.#cut = undefined;
				break;
			}

			case 'noise': {
				this.#noise = operation.units / 600;
				break;
			}

			case 'snapshot': {
				node.takeSnapshot();
				break;
			}

			case 'sync': {
				node.syncDelay = operation.units / 2;
				break;
			}

			case 'add': {
				this.leader?.take({type: 'change-replicas', change: {type: 'add-learner', replica: node.id}});
				break;
			}

			case 'remove': {
				if (committedReplicas(this.oracle).voters.length > firstReplicas.voters.length) {
					this.leader?.take({type: 'change-replicas', change: {type: 'remove', replica: node.id}});
				}

				break;
			}
		}

		this.run(operation.after);
	}

	propose(count: number): void {
		for (const node of this.nodes) {
			const proposals = Array.from({length: (count % 4) + 1}, () => {
				this.#proposals++;
				return {proposalId: `${this.#proposals}`, data: Buffer.from(`c${this.#proposals}`)};
			});
			if (node.state && isLeader(node.state)) {
				node.take({type: 'propose', proposals});
			}
		}
	}

	run(units: number): void {
		for (const end = this.#time + units; this.#time < end;) {
			this.#time++;
			this.#unit();
		}
	}

	/** Ends all faults and waits until every repair is finished and all voters hold everything. */
	converge(): void {
		this.#cut = undefined;
		this.#noise = 0;
		this.#trap = undefined;
		for (const node of this.nodes) {
			node.frozenUntil = 0;
			node.restartAt = 0;
			node.syncDelay = 0;
			node.lag = 0;
		}

		const end = this.#time + convergenceUnits;
		while (this.#time < end) {
			this.run(planInterval);
			if (isSettled(this.nodes, this.oracle)) {
				return;
			}
		}

		const states = this.nodes.map(({id, state, appliedIndex}) => `${id} ${state?.role.type} term ${state?.hardState.term} applied ${appliedIndex} ${JSON.stringify(state?.replicas)}`);
		throw new Error(`Got no settled group after ${convergenceUnits} units, wanted one: ${states.join('; ')}`);
	}

	#unit(): void {
		for (const node of this.nodes) {
			node.advance(this.#time);
		}

		const due = this.#exchange.filter(envelope => envelope.due <= this.#time);
		this.#exchange = this.#exchange.filter(envelope => envelope.due > this.#time);
		for (const envelope of due) {
			this.#deliver(envelope);
		}

		for (const [position, node] of this.nodes.entries()) {
			if ((this.#time + position) % tickInterval === 0) {
				node.take({type: 'tick'});
			}
		}

		if (this.#time % planInterval === 0) {
			this.#plan();
		}

		this.#check();
	}

	#plan(): void {
		const {leader} = this;
		const present = this.nodes.filter(({state}) => state).map(({id}) => id);
		const change = leader?.state && planReplacement(leader.state, {present});
		if (change) {
			leader.take({type: 'change-replicas', change});
		}
	}

	#check(): void {
		const holders = this.nodes.filter(({hasLease}) => hasLease);
		if (holders.length > 1) {
			throw new Error(`Got leases of ${holders.map(({id}) => id).join(' and ')} at ${this.#time}, wanted one at most`);
		}

		for (const holder of holders) {
			holder.checkRead();
		}
	}

	/** The replica that leads the newest term, with or without a lease. */
	#newestLeader(): Node | undefined {
		const leaders = this.nodes.filter(({state}) => state && isLeader(state));
		leaders.sort((left, right) => right.state!.hardState.term - left.state!.hardState.term);
		return leaders[0];
	}

	#target({node}: Operation): Node {
		return (node === leaderTarget ? this.#newestLeader() : this.nodes[node]) ?? this.nodes[0]!;
	}

	#part(side: number): void {
		const leader = this.#newestLeader();
		const leaderBit = leader ? 2 ** this.nodes.indexOf(leader) : 0;
		this.#cut = side === leaderSide ? leaderBit : side;
	}

	/** Crashes a host right after it sent the message that the trap waits for, and parts the network. */
	#spring(from: ReplicaId, message: ReplicaMessage): void {
		const trap = this.#trap;
		const node = trap && this.#target(trap);
		if (node?.id !== from || trap?.message !== message.type) {
			return;
		}

		this.#trap = undefined;
		this.#part(trap.side);
		node.crash(this.#time + trap.units);
	}

	#post(from: ReplicaId, {to, message}: ReplicaActions['messages'][number]): void {
		const lag = this.nodes.find(({id}) => id === from)?.lag ?? 0;
		const copies = this.#chance() < this.#noise / 2 ? 2 : 1;
		for (let copy = 0; copy < copies; copy++) {
			const spread = this.#chance() < this.#noise ? longDelay : shortDelay;
			const isLost = this.#chance() < this.#noise || this.#isCut(from, to);
			if (!isLost) {
				this.#exchange.push({
					due: this.#time + 1 + lag + Math.floor(this.#chance() * spread), from, to, message,
				});
			}
		}

		this.#spring(from, message);
	}

	#deliver({from, to, message}: Envelope): void {
		const node = this.nodes.find(({id}) => id === to);
		if (node?.state && !node.isAwake) {
			// A frozen process finds the message in its socket when it wakes.
			this.#exchange.push({
				due: node.frozenUntil, from, to, message,
			});
			return;
		}

		node?.take({type: 'message', from, message});
	}

	/** A partition stops what is sent from then on; what is on its way arrives. */
	#isCut(from: ReplicaId, to: ReplicaId): boolean {
		const side = (id: ReplicaId) => {
			const position = this.nodes.findIndex(node => instanceOf(node.id) === instanceOf(id));
			return Math.floor((this.#cut ?? 0) / (2 ** position)) % 2;
		};

		return side(from) !== side(to);
	}

	#chance(): number {
		const {value, state} = nextRandom(this.#random);
		this.#random = state;
		return value;
	}
}
