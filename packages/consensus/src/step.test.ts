import test from 'ava';
import {createReplica} from './create-replica.js';
import {isLeader} from './is-leader.js';
import {leaseValidUntil} from './lease-valid-until.js';
import {type LogEntry} from './log-entry.js';
import {readIndex} from './read-index.js';
import {type ReplicaId, toReplicaId} from './replica-id.js';
import {defaultReplicaOptions} from './replica-options.js';
import {type ReplicaState} from './replica-state.js';
import {step} from './step.js';

const first = toReplicaId('a', '0');
const second = toReplicaId('b', '0');
const third = toReplicaId('c', '0');
const replicas = {voters: [first, second, third], learners: []};
const campaignTime = 5000;

function createFollower(entries: readonly LogEntry[] = [], id: ReplicaId = first): ReplicaState {
	return createReplica({
		id, replicas, hardState: {term: 2}, entries, options: {maximumAppendBytes: 1}, seed: 1,
	}, 0);
}

function electLeader(entries: readonly LogEntry[] = []): ReplicaState {
	let {state} = step(createFollower(entries), {type: 'tick'}, campaignTime);
	for (const isPreVote of [true, false]) {
		state = step(state, {
			type: 'message', from: second, message: {
				type: 'vote-reply', term: 3, isPreVote, granted: true,
			},
		}, campaignTime).state;
	}

	return state;
}

function acknowledge(state: ReplicaState, matchIndex: number, now: number): ReturnType<typeof step> {
	return step(state, {
		type: 'message', from: second, message: {
			type: 'append-reply', term: 3, success: true, matchIndex, round: 1,
		},
	}, now);
}

test('a follower that confirms contact while its disk is busy is sent no more requests with entries than may be in flight', t => {
	let {state} = acknowledge(electLeader(), 1, campaignTime);
	const proposals = Array.from({length: 20}, (_, index) => ({proposalId: `p${index}`, data: new Uint8Array([index])}));
	const proposed = step(state, {type: 'propose', proposals}, campaignTime);
	const requests = [...proposed.actions.messages];
	({state} = proposed);
	for (const {message} of requests) {
		if (message.type === 'append-request' && message.entries.length > 0) {
			const {state: next, actions} = acknowledge(state, 0, campaignTime);
			state = next;
			requests.push(...actions.messages);
		}
	}

	const inFlight = requests.filter(({to, message}) => to === second && message.type === 'append-request' && message.entries.length > 0);
	t.is(inFlight.length, defaultReplicaOptions.maximumInFlight);
});

test('a leader does not commit an entry of an older term by counting replicas', t => {
	const old: LogEntry = {index: 1, term: 2, payload: {type: 'command', data: new Uint8Array([1])}};
	const {state, actions} = acknowledge(electLeader([old]), 1, campaignTime);
	t.deepEqual(actions.committed, []);
	t.deepEqual(acknowledge(state, 2, campaignTime).actions.committed.map(({index}) => index), [1, 2]);
});

test('a change of the replica set is rejected before an entry of the leader\'s term is committed, and while another change is in progress', t => {
	const change = {type: 'change-replicas', change: {type: 'add-learner', replica: toReplicaId('d', '0')}, proposalId: 'p'} as const;
	t.deepEqual(step(electLeader(), change, campaignTime).actions.rejected, ['p']);
	const ready = acknowledge(electLeader(), 1, campaignTime).state;
	const {state, actions} = step(ready, change, campaignTime);
	t.deepEqual(actions.accepted, [{proposalId: 'p', index: 2, term: 3}]);
	t.deepEqual(step(state, {...change, change: {type: 'remove', replica: third}}, campaignTime).actions.rejected, ['p']);
});

test('the lease starts when the acknowledged round was sent and is shortened by the drift margin', t => {
	const later = step(electLeader(), {type: 'tick'}, campaignTime + 400).state;
	const {state} = acknowledge(later, 1, campaignTime + 500);
	t.is(leaseValidUntil(state), campaignTime + 900);
	t.is(readIndex(state, campaignTime + 899), 1);
	t.is(readIndex(state, campaignTime + 900), undefined);
});

test('a leader that resumes after a long suspension steps down before it sends a message', t => {
	const {state} = acknowledge(electLeader(), 1, campaignTime);
	const resumed = step(state, {type: 'propose', proposals: [{proposalId: 'p', data: new Uint8Array()}]}, campaignTime + 60_000);
	t.false(isLeader(resumed.state));
	t.deepEqual(resumed.actions.rejected, ['p']);
	t.deepEqual(resumed.actions.messages, []);
});

test('a replica refuses votes for one minimum election timeout after its start', t => {
	const request = {
		type: 'message', from: second, message: {
			type: 'vote-request', term: 3, isPreVote: false, lastIndex: 0, lastTerm: 0,
		},
	} as const;
	const granted = [999, 1000].map(now => step(createFollower(), request, now).actions.messages[0]?.message);
	t.like(granted[0], {type: 'vote-reply', term: 2, granted: false});
	t.like(granted[1], {type: 'vote-reply', term: 3, granted: true});
});

test('the only voter becomes the leader at its first tick', t => {
	const alone = createReplica({id: first, replicas: {voters: [first], learners: []}, seed: 1}, 0);
	const {state, actions} = step(alone, {type: 'tick'}, 0);
	t.is(readIndex(state, 1), 1);
	t.deepEqual(actions.persist?.hardState, {term: 1, votedFor: first});
});

test('a restarted replica withholds its vote only while a lease that its previous run may have acknowledged is valid', t => {
	const {minimumElectionTimeout, maximumElectionTimeout} = defaultReplicaOptions;
	const startedAt = 10_000;
	const restarted = createReplica({
		id: first, replicas, hardState: {term: 2}, lastAcknowledgedAt: startedAt - minimumElectionTimeout + 1, seed: 1,
	}, startedAt);
	const request = {
		type: 'message', from: second, message: {
			type: 'vote-request', term: 3, isPreVote: true, lastIndex: 0, lastTerm: 0,
		},
	} as const;
	t.like(step(restarted, request, startedAt).actions.messages[0]?.message, {granted: false});
	t.like(step(restarted, request, startedAt + 1).actions.messages[0]?.message, {granted: true});
	t.true(restarted.electionDeadline >= startedAt + 1);
	t.true(restarted.electionDeadline <= startedAt + 1 + maximumElectionTimeout - minimumElectionTimeout);
});

test('replicas that start together campaign in sequence with time for an election between them', t => {
	const deadlines = [first, second, third].map(id => createReplica({id, replicas, seed: 1}, 0).electionDeadline);
	const [one = 0, two = 0, three = 0] = deadlines;
	const {minimumElectionTimeout, maximumElectionTimeout} = defaultReplicaOptions;
	t.true(one > minimumElectionTimeout);
	t.true(two - one >= 50 && three - two >= 50);
	t.true(three <= maximumElectionTimeout);
});

test('an initial member that gets entries before the initial replica set keeps them, and can vote afterwards', t => {
	const entry: LogEntry = {index: 1, term: 1, payload: {type: 'command', data: new Uint8Array([1])}};
	const uninitialized = createReplica({id: first, seed: 1}, 0);
	const {state: withEntry} = step(uninitialized, {
		type: 'message', from: second, message: {
			type: 'append-request', term: 1, previousIndex: 0, previousTerm: 0, entries: [entry], commitIndex: 1, round: 1,
		},
	}, 1000);
	const initial = {
		lastIndex: 0, lastTerm: 0, replicas, data: new Uint8Array(),
	};
	const {state, actions} = step(withEntry, {type: 'begin-group', initial}, 1010);
	t.deepEqual(actions.persist?.snapshot, initial);
	t.deepEqual(actions.committed, []);
	t.is(state.commitIndex, 1);
	t.deepEqual(state.replicas, replicas);
	const {actions: {messages}} = step(state, {
		type: 'message', from: third, message: {
			type: 'vote-request', term: 2, isPreVote: true, lastIndex: 1, lastTerm: 1,
		},
	}, campaignTime);
	t.like(messages[0]?.message, {type: 'vote-reply', granted: true});
	t.is(step(state, {type: 'begin-group', initial: {...initial, replicas: {voters: [first], learners: []}}}, campaignTime).state.replicas, replicas);
});

const {maximumElectionTimeout} = defaultReplicaOptions;

/** Lets a replica win the pre-vote, so that it becomes a candidate. */
function becomeCandidate(state: ReplicaState, now: number): ReplicaState {
	const preCandidate = step(state, {type: 'tick'}, now).state;
	return step(preCandidate, {
		type: 'message', from: second, message: {
			type: 'vote-reply', term: state.hardState.term + 1, isPreVote: true, granted: true,
		},
	}, now).state;
}

test('a candidate with a slow disk waits longer for votes', t => {
	const candidate = becomeCandidate(createFollower(), campaignTime);
	const slow = step(candidate, {type: 'tick', persistMilliseconds: maximumElectionTimeout}, campaignTime + maximumElectionTimeout).state;
	t.is(slow.role.type, 'candidate');
	t.is(step(candidate, {type: 'tick'}, campaignTime + maximumElectionTimeout).state.role.type, 'pre-candidate');
});

test('the timeout of a candidate doubles with each failed election', t => {
	let state = becomeCandidate(createFollower(), campaignTime);
	const timeouts = [state.electionDeadline - campaignTime];
	for (let election = 0; election < 3; election++) {
		const now = state.electionDeadline;
		state = becomeCandidate(state, now);
		timeouts.push(state.electionDeadline - now);
	}

	t.is(state.hardState.term, 6);
	t.true(timeouts[3]! >= 8 * defaultReplicaOptions.minimumElectionTimeout, `Timeouts: ${timeouts.join(', ')} ms`);
});

test('a leader with slow followers does not step down before they can have replied', t => {
	const candidate = becomeCandidate(createFollower(), campaignTime);
	const electedAt = campaignTime + 600;
	const {state} = step(candidate, {
		type: 'message', from: second, message: {
			type: 'vote-reply', term: 3, isPreVote: false, granted: true,
		},
	}, electedAt);
	t.true(isLeader(state));
	t.true(isLeader(step(state, {type: 'tick'}, electedAt + maximumElectionTimeout).state));
	t.false(isLeader(step(electLeader(), {type: 'tick'}, campaignTime + maximumElectionTimeout).state));
});

test('a single long disk pause does not delay the next election by the same time', t => {
	const state = createFollower();
	const paused = step(state, {type: 'tick', persistMilliseconds: 60_000}, 0).state;
	t.true(paused.electionDeadline - state.electionDeadline <= maximumElectionTimeout);
});
