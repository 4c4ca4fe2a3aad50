import {type Draft, refreshReplicas} from './_draft.js';
import {type Snapshot} from './log-entry.js';

/**
Takes the replicas that the group begins with, where this replica knows none.

A leader may have been faster: its first entries do not name the initial replicas, so those entries are kept, and what is committed stays so.
*/
export function beginGroup(draft: Draft, initial: Snapshot): void {
	const {state, now} = draft;
	if (state.replicas !== undefined || state.log.snapshot !== undefined || state.log.baseIndex > 0) {
		return;
	}

	state.log = {...state.log, baseReplicas: initial.replicas, snapshot: initial};
	refreshReplicas(draft);
	draft.persistedSnapshot = initial;
	const {voters} = initial.replicas;
	if (voters.length === 1 && voters[0] === state.id) {
		state.electionDeadline = now;
	}
}
