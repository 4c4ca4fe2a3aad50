import {isLeader} from '../is-leader.js';
import {type ReplicaSet} from '../log-entry.js';
import {toReplicaId} from '../replica-id.js';
import {type Node} from './_node.js';
import {type Oracle} from './_oracle.js';

/** The initial replica set of each simulation. */
export const initialReplicas: ReplicaSet = {voters: ['i0', 'i1', 'i2'].map(instance => toReplicaId(instance, '0')), learners: []};

/** Returns the last committed replica set, or the initial one. */
export function committedReplicas({committed}: Oracle): ReplicaSet {
	for (const {payload} of committed.toReversed()) {
		if (payload.type === 'replica-set') {
			return payload.replicas;
		}
	}

	return initialReplicas;
}

/** Returns the node with a valid lease. */
export function leaseHolder(nodes: readonly Node[]): Node | undefined {
	return nodes.find(({state, hasLease}) => state && isLeader(state) && hasLease);
}

/** Returns whether a leader has committed its whole log, no replacement is in progress, and all voters have applied all entries. */
export function hasConverged(nodes: readonly Node[], oracle: Oracle): boolean {
	const state = leaseHolder(nodes)?.state;
	const {voters, learners} = committedReplicas(oracle);
	const holders = nodes.filter(({id}) => voters.includes(id));
	if (!state || learners.length > 0 || holders.length < voters.length || oracle.lastIndex === 0) {
		return false;
	}

	const isCommitted = state.commitIndex === state.log.baseIndex + state.log.entries.length;
	return isCommitted && holders.every(({appliedIndex}) => appliedIndex === oracle.lastIndex);
}

/** Returns whether the disk of a node may be wiped: all voters exist, and no change of the replica set is in progress, committed or not. */
export function canWipe(node: Node, {nodes, oracle}: {readonly nodes: readonly Node[]; readonly oracle: Oracle}): boolean {
	const {voters, learners} = committedReplicas(oracle);
	if (!voters.includes(node.id) && !learners.includes(node.id)) {
		return true;
	}

	const committed = oracle.committed.findLastIndex(({payload}) => payload.type === 'replica-set') + 1;
	const isChanging = nodes.some(({state, disk}) => [...state?.log.entries ?? [], ...disk.entries]
		.some(({index, payload}) => payload.type === 'replica-set' && index > committed));
	return !isChanging && learners.length === 0 && voters.every(voter => nodes.some(({id}) => id === voter));
}
