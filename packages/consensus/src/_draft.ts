import {diskPatienceOf} from './_disk-patience.js';
import {type LogEntry, type Snapshot} from './log-entry.js';
import {lastIndexOf, replicaSetAt, withEntries} from './_log.js';
import {nextRandom} from './_random.js';
import {type ReplicaActions} from './replica-action.js';
import {type ReplicaId} from './replica-id.js';
import {type ReplicaMessage} from './replica-message.js';
import {type ReplicaState} from './replica-state.js';

/** A state whose members may be replaced; what they point to is never changed. */
export type MutableState = {-readonly [Key in keyof ReplicaState]: ReplicaState[Key]};

/** One step in the making: the new state and the actions so far. */
export type Draft = {
	readonly before: ReplicaState;
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

/** The state after a step, and what the host must do. */
export type StepResult = {
	readonly state: ReplicaState;
	readonly actions: ReplicaActions;
};

/** Opens a step. */
export function beginStep(state: ReplicaState, now: number): Draft {
	return {
		before: state,
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

/** Closes a step. */
export function finishStep(draft: Draft): StepResult {
	const {messages, committed, accepted, rejected, restore} = draft;
	return {
		state: draft.state,
		actions: {
			persist: persistOf(draft), messages, committed, restore, accepted, rejected,
		},
	};
}

/** Adds a message to the step. */
export function send(draft: Draft, to: ReplicaId, message: ReplicaMessage): void {
	draft.messages.push({to, message});
}

/** Appends entries to the log, cutting it where they conflict, and takes a replica set among them into force. */
export function appendToLog(draft: Draft, added: readonly LogEntry[]): void {
	const {state} = draft;
	const [first] = added;
	if (!first) {
		return;
	}

	const isCut = first.index <= state.replicasIndex;
	state.log = withEntries(state.log, added);
	draft.persistedEntries = added;
	if (isCut || added.some(({payload}) => payload.type === 'replica-set')) {
		refreshReplicas(draft);
	}
}

/** Reads the replica set in force from the log. */
export function refreshReplicas({state}: Draft): void {
	const placed = replicaSetAt(state.log, lastIndexOf(state.log));
	state.replicas = placed.replicas;
	state.replicasIndex = placed.index;
}

/** Sets the next election at a random time from now; the time is doubled as often as asked. */
export function resetElectionDeadline({state, now}: Draft, {doublings = 0}: {readonly doublings?: number} = {}): void {
	const {minimumElectionTimeout, maximumElectionTimeout} = state.options;
	const random = nextRandom(state.randomState);
	state.randomState = random.state;
	const timeout = minimumElectionTimeout + (random.value * (maximumElectionTimeout - minimumElectionTimeout)) + diskPatienceOf(state);
	state.electionDeadline = now + (timeout * (2 ** doublings));
}

/** Makes the replica a follower; a higher term is taken over and has no vote yet. */
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

function persistOf({state, before, persistedEntries, persistedSnapshot, restore}: Draft): ReplicaActions['persist'] {
	const hardState = state.hardState === before.hardState ? undefined : state.hardState;
	if (!hardState && persistedEntries.length === 0 && !persistedSnapshot) {
		return undefined;
	}

	return {
		hardState, entries: persistedEntries, snapshot: persistedSnapshot, discardsLog: restore !== undefined,
	};
}
