import {match} from 'ts-pattern';
import {
	beginStep, type Draft, finishStep, type StepResult,
} from './_draft.js';
import {bootstrap} from './_bootstrap.js';
import {recordPersistTime} from './_persist-delay.js';
import {campaignIfDue, handleVoteReply, handleVoteRequest} from './_election.js';
import {handleAppendRequest} from './_follow.js';
import {stepDownWithoutQuorum} from './_lease.js';
import {changeReplicas} from './_membership.js';
import {propose} from './_propose.js';
import {handleAppendReply, heartbeatIfDue} from './_replication.js';
import {handleSnapshotRequest, saveSnapshot} from './_snapshot.js';
import {type ReplicaEvent} from './replica-event.js';
import {type ReplicaId} from './replica-id.js';
import {type ReplicaMessage} from './replica-message.js';
import {type ReplicaState} from './replica-state.js';

/**
Processes an event and returns the new state and the actions for the host.

The host must execute the actions of all steps in the order of the steps, each as specified by `ReplicaActions`. The replicated log implements Raft (Ongaro and Ousterhout, 2014), with pre-vote and leader leases as in Ongaro (2014, sections 9.6 and 6.4.1).

@param state The current state; it is not modified.
@param event The event.
@param now Milliseconds of the monotonic clock; must not decrease between steps.
@returns The new state and the actions.
@throws {Error} If a leader's entry differs from a committed one, or a snapshot is after the commit index. The process must stop.
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
			recordPersistTime(draft, persistMilliseconds);
			heartbeatIfDue(draft);
			campaignIfDue(draft);
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
			bootstrap(draft, initial);
		})
		.with({type: 'snapshot-taken'}, ({lastIndex, data}) => {
			saveSnapshot(draft, lastIndex, data);
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
