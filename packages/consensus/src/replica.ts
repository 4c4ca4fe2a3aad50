import {match} from 'ts-pattern';
import {
	beginStep, type Draft, finishStep, type StepResult,
} from './_draft.js';
import {beginGroup} from './_begin-group.js';
import {notePersistTime} from './_disk-patience.js';
import {campaignWhenDue, handleVoteReply, handleVoteRequest} from './_election.js';
import {handleAppendRequest} from './_follow.js';
import {stepDownWithoutQuorum} from './_lease.js';
import {changeReplicas} from './_membership.js';
import {propose} from './_propose.js';
import {handleAppendReply, heartbeatWhenDue} from './_replication.js';
import {handleSnapshotRequest, keepSnapshot} from './_snapshot.js';
import {type ReplicaEvent} from './replica-event.js';
import {type ReplicaId} from './replica-id.js';
import {type ReplicaMessage} from './replica-message.js';
import {type ReplicaState} from './replica-state.js';

/**
Takes one event and gives the new state and what the host must do.

The actions of all steps are carried out in the order of the steps, each as `ReplicaActions` says. The replicated log follows Raft (Ongaro and Ousterhout, 2014); pre-vote and the leader's lease follow Ongaro (2014, sections 9.6 and 6.4.1).

@param state The state before; it is not changed.
@param event What happened.
@param now Milliseconds on the monotonic clock; never less than in the step before.
@returns The new state and the actions.
@throws {Error} Where another leader's entry differs from a committed one, or a snapshot lies after the commit index: the process must stop.
@example
```ts
const {state: next, actions} = step(state, {type: 'tick'}, clock.monotonic());
```
*/
export function step(state: ReplicaState, event: ReplicaEvent, now: number): StepResult {
	const draft = beginStep(state, now);
	stepDownWithoutQuorum(draft);
	match(event)
		.with({type: 'tick'}, ({persistMilliseconds = 0}) => {
			notePersistTime(draft, persistMilliseconds);
			heartbeatWhenDue(draft);
			campaignWhenDue(draft);
		})
		.with({type: 'message'}, ({from, message}) => {
			handleMessage(draft, from, message);
		})
		.with({type: 'propose'}, ({proposals}) => {
			propose(draft, proposals);
		})
		.with({type: 'change-replicas'}, ({change, proposalId}) => {
			changeReplicas(draft, change, proposalId);
		})
		.with({type: 'begin-group'}, ({initial}) => {
			beginGroup(draft, initial);
		})
		.with({type: 'snapshot-taken'}, ({lastIndex, data}) => {
			keepSnapshot(draft, lastIndex, data);
		})
		.exhaustive();
	return finishStep(draft);
}

function handleMessage(draft: Draft, from: ReplicaId, received: ReplicaMessage): void {
	match(received)
		.with({type: 'vote-request'}, message => {
			handleVoteRequest(draft, from, message);
		})
		.with({type: 'vote-reply'}, message => {
			handleVoteReply(draft, from, message);
		})
		.with({type: 'append-request'}, message => {
			handleAppendRequest(draft, from, message);
		})
		.with({type: 'append-reply'}, message => {
			handleAppendReply(draft, from, message);
		})
		.with({type: 'snapshot-request'}, message => {
			handleSnapshotRequest(draft, from, message);
		})
		.exhaustive();
}
