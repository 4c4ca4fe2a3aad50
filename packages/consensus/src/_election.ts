import {
	appendToLog, becomeFollower, type Draft, resetElectionDeadline, send,
} from './_draft.js';
import {commitReplicatedEntries} from './_commit.js';
import {isBoundByLease} from './_lease.js';
import {lastIndexOf, lastTermOf} from './_log.js';
import {isQuorum, isVoter, votersOf} from './_quorum.js';
import {createProgress, sendRound} from './_replication.js';
import {type ReplicaId} from './replica-id.js';
import {type VoteReply, type VoteRequest} from './replica-message.js';
import {type ReplicaRole} from './replica-state.js';

type CandidateRole = Extract<ReplicaRole, {readonly type: 'candidate'}>;

/** The maximum number of times the timeout of a candidate is doubled. */
const maximumDoublings = 5;

/** Starts a pre-vote if the election deadline has passed (Ongaro, 2014, section 9.6). */
export function campaignIfDue(draft: Draft): void {
	const {state, now} = draft;
	if (state.role.type === 'leader' || now < state.electionDeadline || !isVoter(state)) {
		return;
	}

	resetElectionDeadline(draft);
	state.leader = undefined;
	state.role = {type: 'pre-candidate', votes: new Set([state.id])};
	requestVotes(draft, {isPreVote: true});
	countVotes(draft);
}

/** Handles a request for a vote or a pre-vote. */
export function handleVoteRequest(draft: Draft, from: ReplicaId, request: VoteRequest): void {
	const {state} = draft;
	const {isPreVote} = request;
	if (!state.replicas || isBoundByLease(draft)) {
		send(draft, from, voteReply(draft, {isPreVote, granted: false}));
		return;
	}

	if (isPreVote) {
		const granted = request.term > state.hardState.term && isUpToDate(draft, request);
		send(draft, from, granted
			? {
				type: 'vote-reply', term: request.term, isPreVote, granted,
			}
			: voteReply(draft, {isPreVote, granted}));
		return;
	}

	if (request.term > state.hardState.term) {
		becomeFollower(draft, request.term);
	}

	const granted = castVote(draft, from, request);
	send(draft, from, voteReply(draft, {isPreVote, granted}));
}

/** Handles a reply to a request for a vote or a pre-vote. */
export function handleVoteReply(draft: Draft, from: ReplicaId, reply: VoteReply): void {
	const {state} = draft;
	const {term} = state.hardState;
	const isGrantedPreVote = reply.isPreVote && reply.granted;
	if (reply.term > term && !isGrantedPreVote) {
		becomeFollower(draft, reply.term);
		return;
	}

	const {role} = state;
	const expectedRole = reply.isPreVote ? 'pre-candidate' : 'candidate';
	const expectedTerm = reply.isPreVote ? term + 1 : term;
	if (!reply.granted || reply.term !== expectedTerm || role.type !== expectedRole) {
		return;
	}

	state.role = {...role, votes: new Set([...role.votes, from])};
	countVotes(draft);
}

function countVotes(draft: Draft): void {
	const {role} = draft.state;
	if ((role.type !== 'pre-candidate' && role.type !== 'candidate') || !isQuorum(draft.state, role.votes)) {
		return;
	}

	if (role.type === 'pre-candidate') {
		becomeCandidate(draft);
		return;
	}

	becomeLeader(draft, role);
}

function becomeCandidate(draft: Draft): void {
	const {state, now} = draft;
	state.hardState = {term: state.hardState.term + 1, votedFor: state.id};
	state.role = {type: 'candidate', votes: new Set([state.id]), since: now};
	// Voters with slow disks reply late, so the timeout doubles with each failed election.
	resetElectionDeadline(draft, {doublings: Math.min(state.failedElections, maximumDoublings)});
	state.failedElections++;
	requestVotes(draft, {isPreVote: false});
	countVotes(draft);
}

function becomeLeader(draft: Draft, {since}: CandidateRole): void {
	const {state, now} = draft;
	const nextIndex = lastIndexOf(state.log) + 1;
	state.role = {
		type: 'leader',
		since: now,
		electionMilliseconds: now - since,
		termStartIndex: nextIndex,
		progress: createProgress(state, new Map()),
		rounds: [{round: 0, sentAt: now}],
		roundCommitIndex: state.commitIndex,
	};
	state.leader = state.id;
	state.failedElections = 0;
	appendToLog(draft, [{index: nextIndex, term: state.hardState.term, payload: {type: 'empty'}}]);
	sendRound(draft);
	commitReplicatedEntries(draft);
}

function requestVotes(draft: Draft, {isPreVote}: {readonly isPreVote: boolean}): void {
	const {state} = draft;
	const request: VoteRequest = {
		type: 'vote-request',
		term: isPreVote ? state.hardState.term + 1 : state.hardState.term,
		isPreVote,
		lastIndex: lastIndexOf(state.log),
		lastTerm: lastTermOf(state.log),
	};
	for (const voter of votersOf(state)) {
		if (voter !== state.id) {
			send(draft, voter, request);
		}
	}
}

function castVote(draft: Draft, candidate: ReplicaId, request: VoteRequest): boolean {
	const {state} = draft;
	const {term, votedFor} = state.hardState;
	const canVote = votedFor === undefined || votedFor === candidate;
	if (request.term !== term || !canVote || state.role.type === 'leader' || !isUpToDate(draft, request)) {
		return false;
	}

	if (votedFor === undefined) {
		state.hardState = {term, votedFor: candidate};
	}

	resetElectionDeadline(draft);
	return true;
}

function isUpToDate({state}: Draft, {lastIndex, lastTerm}: VoteRequest): boolean {
	const ownTerm = lastTermOf(state.log);
	return lastTerm > ownTerm || (lastTerm === ownTerm && lastIndex >= lastIndexOf(state.log));
}

function voteReply({state}: Draft, answer: Pick<VoteReply, 'isPreVote' | 'granted'>): VoteReply {
	return {type: 'vote-reply', term: state.hardState.term, ...answer};
}
