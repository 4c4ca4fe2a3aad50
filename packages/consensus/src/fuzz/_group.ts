import {isLeader} from '../is-leader.js';
import {type ReplicaSet} from '../log-entry.js';
import {toReplicaId} from '../replica-id.js';
import {type Node} from './_node.js';
import {type Oracle} from './_oracle.js';

/** The replica set that each group begins with. */
export const firstReplicas: ReplicaSet = {voters: ['i0', 'i1', 'i2'].map(instance => toReplicaId(instance, '0')), learners: []};

/** The replica set committed last, or the first one. */
export function committedReplicas({chosen}: Oracle): ReplicaSet {
	for (const {payload} of chosen.toReversed()) {
		if (payload.type === 'replica-set') {
			return payload.replicas;
		}
	}

	return firstReplicas;
}

/** The host whose lease is valid. */
export function leaseHolder(nodes: readonly Node[]): Node | undefined {
	return nodes.find(({state, hasLease}) => state && isLeader(state) && hasLease);
}

/** Whether a leader has committed its whole log, all repairs are finished, and every voter has applied everything. */
export function isSettled(nodes: readonly Node[], oracle: Oracle): boolean {
	const state = leaseHolder(nodes)?.state;
	const {voters, learners} = committedReplicas(oracle);
	const holders = nodes.filter(({id}) => voters.includes(id));
	if (!state || learners.length > 0 || holders.length < voters.length || oracle.lastIndex === 0) {
		return false;
	}

	const isCommitted = state.commitIndex === state.log.baseIndex + state.log.entries.length;
	return isCommitted && holders.every(({appliedIndex}) => appliedIndex === oracle.lastIndex);
}

/** Whether a disk may be lost: all voters are present, and no change is in progress, committed or not. */
export function mayLose(node: Node, {nodes, oracle}: {readonly nodes: readonly Node[]; readonly oracle: Oracle}): boolean {
	const {voters, learners} = committedReplicas(oracle);
	if (!voters.includes(node.id) && !learners.includes(node.id)) {
		return true;
	}

	const committed = oracle.chosen.findLastIndex(({payload}) => payload.type === 'replica-set') + 1;
	const isChanging = nodes.some(({state, disk}) => [...state?.log.entries ?? [], ...disk.entries]
		.some(({index, payload}) => payload.type === 'replica-set' && index > committed));
	return !isChanging && learners.length === 0 && voters.every(voter => nodes.some(({id}) => id === voter));
}
