import {Buffer} from 'node:buffer';
import {isLeader} from '../is-leader.js';
import {planReplacement} from '../plan-replacement.js';
import {type ReplicaActions} from '../replica-action.js';
import {instanceOf, type ReplicaId} from '../replica-id.js';
import {type ReplicaMessage} from '../replica-message.js';
import {nextRandom, seedRandom} from '../_random.js';
import {
	canWipe, committedReplicas, initialReplicas, hasConverged, leaseHolder,
} from './_cluster.js';
import {Node} from './_node.js';
import {Oracle} from './_oracle.js';
import {leaderNode, leaderSide, type Operation} from './_operation.js';

const instances = 5;
const tickInterval = 10;
const planInterval = 20;
const convergenceTimeout = 6000;
const shortDelay = 6;
const longDelay = 160;

type Envelope = {readonly due: number; readonly from: ReplicaId; readonly to: ReplicaId; readonly message: ReplicaMessage};

/** Simulates several nodes in virtual time with a network that loses, duplicates, delays and reorders messages. */
export class Simulation {
	readonly oracle = new Oracle();
	readonly nodes: readonly Node[];
	#time = 0;
	#randomState: number;
	#network: Envelope[] = [];
	#partition: number | undefined;
	#faultRate = 0;
	#crashTrigger: Operation | undefined;
	#proposals = 0;

	constructor(seed: number) {
		this.#randomState = seedRandom(seed);
		this.nodes = Array.from({length: instances}, (_, position) => new Node({
			position,
			replicas: position < initialReplicas.voters.length ? initialReplicas : undefined,
			oracle: this.oracle,
			onMessage: (from, sent) => {
				this.#send(from, sent);
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
				this.propose(operation.duration);
				break;
			}

			case 'crash': {
				node.crash(this.#time + operation.duration);
				break;
			}

			case 'freeze': {
				node.frozenUntil = this.#time + operation.duration;
				break;
			}

			case 'wipe': {
				if (canWipe(node, {nodes: this.nodes, oracle: this.oracle})) {
					node.wipe(this.#time + operation.duration);
				}

				break;
			}

			case 'partition': {
				this.#partitionFrom(operation.side);
				break;
			}

			case 'isolate': {
				this.#partition = 2 ** this.nodes.indexOf(node);
				break;
			}

			case 'send-delay': {
				node.sendDelay = operation.duration;
				break;
			}

			case 'crash-on-send': {
				this.#crashTrigger = operation;
				break;
			}

			case 'heal': {
				this.#partition = undefined;
				break;
			}

			case 'message-faults': {
				this.#faultRate = operation.duration / 600;
				break;
			}

			case 'snapshot': {
				node.takeSnapshot();
				break;
			}

			case 'sync-delay': {
				node.syncDelay = operation.duration / 2;
				break;
			}

			case 'add': {
				this.leader?.handle({type: 'change-replicas', change: {type: 'add-learner', replica: node.id}});
				break;
			}

			case 'remove': {
				if (committedReplicas(this.oracle).voters.length > initialReplicas.voters.length) {
					this.leader?.handle({type: 'change-replicas', change: {type: 'remove', replica: node.id}});
				}

				break;
			}
		}

		this.run(operation.delayAfter);
	}

	propose(count: number): void {
		for (const node of this.nodes) {
			const proposals = Array.from({length: (count % 4) + 1}, () => {
				this.#proposals++;
				return {proposalId: `${this.#proposals}`, data: Buffer.from(`c${this.#proposals}`)};
			});
			if (node.state && isLeader(node.state)) {
				node.handle({type: 'propose', proposals});
			}
		}
	}

	run(units: number): void {
		for (const end = this.#time + units; this.#time < end;) {
			this.#time++;
			this.#advance();
		}
	}

	/** Ends all faults and runs until all replacements are complete and all voters have applied all entries. */
	converge(): void {
		this.#partition = undefined;
		this.#faultRate = 0;
		this.#crashTrigger = undefined;
		for (const node of this.nodes) {
			node.frozenUntil = 0;
			node.restartAt = 0;
			node.syncDelay = 0;
			node.sendDelay = 0;
		}

		const end = this.#time + convergenceTimeout;
		while (this.#time < end) {
			this.run(planInterval);
			if (hasConverged(this.nodes, this.oracle)) {
				return;
			}
		}

		const states = this.nodes.map(({id, state, appliedIndex}) => `${id} ${state?.role.type} term ${state?.hardState.term} applied ${appliedIndex} ${JSON.stringify(state?.replicas)}`);
		throw new Error(`Replicas did not converge within ${convergenceTimeout} units: ${states.join('; ')}`);
	}

	#advance(): void {
		for (const node of this.nodes) {
			node.advance(this.#time);
		}

		const due = this.#network.filter(envelope => envelope.due <= this.#time);
		this.#network = this.#network.filter(envelope => envelope.due > this.#time);
		for (const envelope of due) {
			this.#deliver(envelope);
		}

		for (const [position, node] of this.nodes.entries()) {
			if ((this.#time + position) % tickInterval === 0) {
				node.handle({type: 'tick'});
			}
		}

		if (this.#time % planInterval === 0) {
			this.#proposeReplacement();
		}

		this.#checkLeases();
	}

	#proposeReplacement(): void {
		const {leader} = this;
		const active = this.nodes.filter(({state}) => state).map(({id}) => id);
		const change = leader?.state && planReplacement(leader.state, {active});
		if (change) {
			leader.handle({type: 'change-replicas', change});
		}
	}

	#checkLeases(): void {
		const holders = this.nodes.filter(({hasLease}) => hasLease);
		if (holders.length > 1) {
			throw new Error(`Several replicas hold a lease at ${this.#time}: ${holders.map(({id}) => id).join(', ')}`);
		}

		for (const holder of holders) {
			holder.checkRead();
		}
	}

	/** Returns the leader of the newest term, with or without a lease. */
	#newestLeader(): Node | undefined {
		const leaders = this.nodes.filter(({state}) => state && isLeader(state));
		leaders.sort((left, right) => right.state!.hardState.term - left.state!.hardState.term);
		return leaders[0];
	}

	#target({node}: Operation): Node {
		return (node === leaderNode ? this.#newestLeader() : this.nodes[node]) ?? this.nodes[0]!;
	}

	#partitionFrom(side: number): void {
		const leader = this.#newestLeader();
		const leaderBit = leader ? 2 ** this.nodes.indexOf(leader) : 0;
		this.#partition = side === leaderSide ? leaderBit : side;
	}

	/** Crashes a node immediately after it sent a message that matches the pending `crash-on-send`, and partitions the network. */
	#triggerCrash(from: ReplicaId, message: ReplicaMessage): void {
		const trigger = this.#crashTrigger;
		const node = trigger && this.#target(trigger);
		if (node?.id !== from || trigger?.message !== message.type) {
			return;
		}

		this.#crashTrigger = undefined;
		this.#partitionFrom(trigger.side);
		node.crash(this.#time + trigger.duration);
	}

	#send(from: ReplicaId, {to, message}: ReplicaActions['messages'][number]): void {
		const sendDelay = this.nodes.find(({id}) => id === from)?.sendDelay ?? 0;
		const copies = this.#nextRandom() < this.#faultRate / 2 ? 2 : 1;
		for (let copy = 0; copy < copies; copy++) {
			const spread = this.#nextRandom() < this.#faultRate ? longDelay : shortDelay;
			const isLost = this.#nextRandom() < this.#faultRate || this.#isPartitioned(from, to);
			if (!isLost) {
				this.#network.push({
					due: this.#time + 1 + sendDelay + Math.floor(this.#nextRandom() * spread), from, to, message,
				});
			}
		}

		this.#triggerCrash(from, message);
	}

	#deliver({from, to, message}: Envelope): void {
		const node = this.nodes.find(({id}) => id === to);
		if (node?.state && !node.isAwake) {
			// A frozen process reads the message from its socket when it resumes.
			this.#network.push({
				due: node.frozenUntil, from, to, message,
			});
			return;
		}

		node?.handle({type: 'message', from, message});
	}

	/** Returns whether the partition separates two replicas. It drops messages sent during the partition; those sent before arrive. */
	#isPartitioned(from: ReplicaId, to: ReplicaId): boolean {
		const side = (id: ReplicaId) => {
			const position = this.nodes.findIndex(node => instanceOf(node.id) === instanceOf(id));
			return Math.floor((this.#partition ?? 0) / (2 ** position)) % 2;
		};

		return side(from) !== side(to);
	}

	#nextRandom(): number {
		const {value, state} = nextRandom(this.#randomState);
		this.#randomState = state;
		return value;
	}
}
