import {Buffer} from 'node:buffer';
import {isLeader} from '../is-leader.js';
import {type ReplicaSet} from '../log-entry.js';
import {planReplacement} from '../plan-replacement.js';
import {type ReplicaActions} from '../replica-action.js';
import {toReplicaId, type ReplicaId} from '../replica-id.js';
import {type ReplicaMessage} from '../replica-message.js';
import {nextRandom, seedRandom} from '../_random.js';
import {Node} from './_node.js';
import {Oracle} from './_oracle.js';
import {type Operation} from './_operation.js';

const instances = 5;
const firstVoters = 3;
const tickInterval = 10;
const planInterval = 20;
const convergenceUnits = 6000;
const shortDelay = 8;
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
	#proposals = 0;

	constructor(seed: number) {
		this.#random = seedRandom(seed);
		const voters = Array.from({length: firstVoters}, (_, position) => toReplicaId(`i${position}`, '0'));
		this.nodes = Array.from({length: instances}, (_, position) => new Node({
			position,
			replicas: position < firstVoters ? {voters, learners: []} : undefined,
			oracle: this.oracle,
			onMessage: (from, sent) => {
				this.#post(from, sent);
			},
		}));
	}

	get leader(): Node | undefined {
		return this.nodes.find(({state, hasLease}) => state && isLeader(state) && hasLease);
	}

	/** The replica set committed last, or the first one. */
	get replicas(): ReplicaSet {
		for (const {payload} of this.oracle.chosen.toReversed()) {
			if (payload.type === 'replica-set') {
				return payload.replicas;
			}
		}

		return {voters: Array.from({length: firstVoters}, (_, position) => toReplicaId(`i${position}`, '0')), learners: []};
	}

	perform(operation: Operation): void {
		const node = this.nodes[operation.node]!;
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
				if (this.#mayLose(node)) {
					node.wipe(this.#time + operation.units);
				}

				break;
			}

			case 'cut': {
				this.#cut = operation.units;
				break;
			}

			case 'heal': {
				this.#cut = undefined;
				break;
			}

			case 'noise': {
				this.#noise = operation.units / 400;
				break;
			}

			case 'snapshot': {
				node.takeSnapshot();
				break;
			}

			case 'sync': {
				node.syncDelay = operation.units / 4;
				break;
			}

			case 'add': {
				this.leader?.take({type: 'change-replicas', change: {type: 'add-learner', replica: node.id}});
				break;
			}

			case 'remove': {
				if (this.replicas.voters.length > firstVoters) {
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
		for (const node of this.nodes) {
			node.frozenUntil = 0;
			node.restartAt = 0;
			node.syncDelay = 0;
		}

		const end = this.#time + convergenceUnits;
		while (this.#time < end) {
			this.run(planInterval);
			if (this.#isSettled()) {
				return;
			}
		}

		const states = this.nodes.map(({id, state, appliedIndex}) => `${id} ${state?.role.type} term ${state?.hardState.term} applied ${appliedIndex} ${JSON.stringify(state?.replicas)}`);
		throw new Error(`Got no settled group after ${convergenceUnits} units, wanted one: ${states.join('; ')}`);
	}

	#isSettled(): boolean {
		const {leader, replicas} = this;
		const {lastIndex} = this.oracle;
		const isRepaired = replicas.learners.length === 0 && this.nodes.slice(0, firstVoters).length > 0
			&& replicas.voters.every(voter => this.nodes.some(({id}) => id === voter));
		const holders = this.nodes.filter(({id}) => replicas.voters.includes(id));
		return leader?.state !== undefined && isRepaired
			&& leader.state.commitIndex === leader.state.log.baseIndex + leader.state.log.entries.length
			&& holders.every(({appliedIndex}) => appliedIndex === lastIndex) && lastIndex > 0;
	}

	/** A disk may be lost once all voters are present and no change is in progress, committed or not. */
	#mayLose(node: Node): boolean {
		const {voters, learners} = this.replicas;
		if (!voters.includes(node.id) && !learners.includes(node.id)) {
			return true;
		}

		const committed = this.oracle.chosen.findLastIndex(({payload}) => payload.type === 'replica-set') + 1;
		const isChanging = this.nodes.some(({state, disk}) => [...state?.log.entries ?? [], ...disk.entries]
			.some(({index, payload}) => payload.type === 'replica-set' && index > committed));
		return !isChanging && learners.length === 0 && voters.every(voter => this.nodes.some(({id}) => id === voter));
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

	#post(from: ReplicaId, {to, message}: ReplicaActions['messages'][number]): void {
		const copies = this.#chance() < this.#noise / 2 ? 2 : 1;
		for (let copy = 0; copy < copies; copy++) {
			const spread = this.#chance() < this.#noise ? longDelay : shortDelay;
			const isLost = this.#chance() < this.#noise;
			if (!isLost) {
				this.#exchange.push({
					due: this.#time + 1 + Math.floor(this.#chance() * spread), from, to, message,
				});
			}
		}
	}

	#deliver({from, to, message}: Envelope): void {
		const sender = this.nodes.findIndex(({id}) => id.split('/')[0] === from.split('/')[0]);
		const node = this.nodes.find(({id}) => id === to);
		if (!node || this.#isCut(sender, this.nodes.indexOf(node))) {
			return;
		}

		if (node.state && !node.isAwake) {
			// A frozen process finds the message in its socket when it wakes.
			this.#exchange.push({
				due: node.frozenUntil, from, to, message,
			});
			return;
		}

		node.take({type: 'message', from, message});
	}

	#isCut(left: number, right: number): boolean {
		const side = (position: number) => Math.floor((this.#cut ?? 0) / (2 ** position)) % 2;
		return side(left) !== side(right);
	}

	#chance(): number {
		const {value, state} = nextRandom(this.#random);
		this.#random = state;
		return value;
	}
}
