import {type Draft, refreshReplicas} from './_draft.js';
import {type Snapshot} from './log-entry.js';

/**
Installs the initial snapshot, with the initial replica set, on a replica that has none.

A leader may have sent entries before. These do not contain the initial replica set, so they are kept, as is the commit index.
*/
export function bootstrap(draft: Draft, initial: Snapshot): void {
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
