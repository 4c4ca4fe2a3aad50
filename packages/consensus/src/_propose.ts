import {commitReplicatedEntries} from './_commit.js';
import {appendToLog, type Draft} from './_draft.js';
import {lastIndexOf} from './_log.js';
import {sendEntries} from './_replication.js';
import {type LogEntry} from './log-entry.js';
import {type ReplicaEvent} from './replica-event.js';

type Proposals = Extract<ReplicaEvent, {type: 'propose'}>['proposals'];

/** Appends commands to the log of a leader. Other replicas reject them. */
export function propose(draft: Draft, proposals: Proposals): void {
	const {state} = draft;
	if (state.role.type !== 'leader') {
		draft.rejected.push(...proposals.map(({proposalId}) => proposalId));
		return;
	}

	const {term} = state.hardState;
	const added: LogEntry[] = [];
	let index = lastIndexOf(state.log);
	for (const {proposalId, data} of proposals) {
		index++;
		added.push({index, term, payload: {type: 'command', data}});
		draft.accepted.push({proposalId, index, term});
	}

	appendToLog(draft, added);
	sendEntries(draft);
	commitReplicatedEntries(draft);
}
