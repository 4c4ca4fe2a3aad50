import {beginStep} from './_draft.js';
import {appendReply, followLeader} from './_follow.js';
import {type HardState} from './log-entry.js';
import {type ReplicaId} from './replica-id.js';
import {type AppendReply, type AppendRequest} from './replica-message.js';
import {type ReplicaState} from './replica-state.js';

/** An append request that arrives while its host is writing to disk. */
export type ConfirmContactOptions = {
	readonly from: ReplicaId;
	readonly request: AppendRequest;
	/** The hard state that is on disk. */
	readonly persistedHardState: HardState;
	/** Milliseconds of the monotonic clock. */
	readonly now: number;
};

/** The state after confirmed contact, and the reply for the leader. */
export type ConfirmedContact = {
	readonly state: ReplicaState;
	readonly reply: AppendReply;
};

/**
Confirms contact with the leader while the host is still writing earlier steps to disk, so that a slow disk does not end the leader's lease.

The reply acknowledges no entries, so it may be sent at once. The request must be processed by `step` too, after the write.

@param state The state after the last step; it is not modified.
@param options The request, and what is on disk.
@returns The new state and the reply, or undefined if the reply would depend on a term or vote that is not on disk.
@example
```ts
const contact = confirmContact(state, {from, request, persistedHardState, now: clock.monotonic()});
```
*/
export function confirmContact(state: ReplicaState, {from, request, persistedHardState, now}: ConfirmContactOptions): ConfirmedContact | undefined {
	const {hardState, role} = state;
	const isPersisted = hardState.term === persistedHardState.term && hardState.votedFor === persistedHardState.votedFor;
	if (!isPersisted || request.term !== hardState.term || role.type === 'leader') {
		return undefined;
	}

	const draft = beginStep(state, now);
	followLeader(draft, from, request);
	// Every log matches at index 0.
	return {state: draft.state, reply: appendReply(draft, {success: true, matchIndex: 0, round: request.round})};
}
