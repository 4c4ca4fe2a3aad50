import {electionPersistDelay} from './_persist-delay.js';
import {type LogEntry, type Snapshot} from './log-entry.js';
import {lastIndexOf, replicaSetAt, withEntries} from './_log.js';
import {nextRandom} from './_random.js';
import {type ReplicaActions} from './replica-action.js';
import {type ReplicaId} from './replica-id.js';
import {type ReplicaMessage} from './replica-message.js';
import {type ReplicaState} from './replica-state.js';

/** A replica state with replaceable members. The member values themselves are immutable. */
export type MutableState = {-readonly [Key in keyof ReplicaState]: ReplicaState[Key]};

/** The working data of a step: the new state and the actions so far. */
export type Draft = {
	readonly previousState: ReplicaState;
	readonly state: MutableState;
	readonly now: number;
	readonly messages: Array<ReplicaActions['messages'][number]>;
	readonly committed: LogEntry[];
	readonly accepted: Array<ReplicaActions['accepted'][number]>;
	readonly rejected: string[];
	persistedEntries: readonly LogEntry[];
	persistedSnapshot: Snapshot | undefined;
	restore: Snapshot | undefined;
};

/** The state after a step, and the actions for the host. */
export type StepResult = {
	readonly state: ReplicaState;
	readonly actions: ReplicaActions;
};

/** Creates the draft of a step. */
export function beginStep(state: ReplicaState, now: number): Draft {
	return {
		previousState: state,
		state: {...state},
		now,
		messages: [],
		committed: [],
		accepted: [],
		rejected: [],
		persistedEntries: [],
		persistedSnapshot: undefined,
		restore: undefined,
	};
}

/** Creates the result of a step from its draft. */
export function finishStep(draft: Draft): StepResult {
	const {messages, committed, accepted, rejected, restore} = draft;
	return {
		state: draft.state,
		actions: {
			persist: persistAction(draft), messages, committed, restore, accepted, rejected,
		},
	};
}

/** Queues a message. */
export function send(draft: Draft, to: ReplicaId, message: ReplicaMessage): void {
	draft.messages.push({to, message});
}

/** Appends entries to the log after truncating it at the index of the first one, and updates the replica set in effect. */
export function appendToLog(draft: Draft, added: readonly LogEntry[]): void {
	const {state} = draft;
	const [first] = added;
	if (!first) {
		return;
	}

	const truncatesReplicaSet = first.index <= state.replicaSetIndex;
	state.log = withEntries(state.log, added);
	draft.persistedEntries = added;
	if (truncatesReplicaSet || added.some(({payload}) => payload.type === 'replica-set')) {
		refreshReplicas(draft);
	}
}

/** Sets the replica set in effect from the log. */
export function refreshReplicas({state}: Draft): void {
	const current = replicaSetAt(state.log, lastIndexOf(state.log));
	state.replicas = current.replicas;
	state.replicaSetIndex = current.index;
}

/** Sets the election deadline to a random timeout from now, doubled `doublings` times. */
export function resetElectionDeadline({state, now}: Draft, {doublings = 0}: {readonly doublings?: number} = {}): void {
	const {minimumElectionTimeout, maximumElectionTimeout} = state.options;
	const random = nextRandom(state.randomState);
	state.randomState = random.state;
	const timeout = minimumElectionTimeout + (random.value * (maximumElectionTimeout - minimumElectionTimeout)) + electionPersistDelay(state);
	state.electionDeadline = now + (timeout * (2 ** doublings));
}

/** Makes the replica a follower. If the term is higher, adopts it without a vote. */
export function becomeFollower(draft: Draft, term: number, leader?: ReplicaId): void {
	const {state} = draft;
	if (term > state.hardState.term) {
		state.hardState = {term};
	}

	if (state.role.type === 'leader') {
		resetElectionDeadline(draft);
	}

	state.role = {type: 'follower'};
	state.leader = leader;
}

function persistAction({state, previousState, persistedEntries, persistedSnapshot, restore}: Draft): ReplicaActions['persist'] {
	const hardState = state.hardState === previousState.hardState ? undefined : state.hardState;
	if (!hardState && persistedEntries.length === 0 && !persistedSnapshot) {
		return undefined;
	}

	return {
		hardState, entries: persistedEntries, snapshot: persistedSnapshot, discardsLog: restore !== undefined,
	};
}
