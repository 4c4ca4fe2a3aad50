import {type ServerId} from '@valehitch/core';
import test from 'ava';
import {targets} from './_test-request-audit.js';
import {type RequestEvent} from './request-event.js';
import {type RequestPlan} from './request-plan.js';
import {startRequest, stepRequest} from './request-state-machine.js';

const plan: RequestPlan = {
	target: targets[0]!, session: 'none', repeatable: true, requiresClaim: false, streamed: true, judged: false, deadline: 1000, promptTokens: 7,
};
const tooEarly: RequestEvent = {type: 'instance-stopping', answersDueAt: 999};
const sent: readonly RequestEvent[] = [{type: 'admitted'}, {type: 'bill-opened'}, {type: 'server-chosen', attempt: 1, server: 'engine-1' as ServerId}];
const broken: RequestEvent = {type: 'attempt-broken', attempt: 1, message: 'Cut'};
const refused = {type: 'refuse', failure: {kind: 'shutting-down', outcome: 'notRun'}};

/** Returns the state after some events, and the actions of the last one. */
function after(events: readonly RequestEvent[], now = 1) {
	let step = startRequest(plan);
	for (const event of events) {
		step = stepRequest(step.state, {event, now});
	}

	return step;
}

test('a request that is held when the stop begins is refused at once unless it ends in time', t => {
	const {state, actions} = after([tooEarly]);
	t.is(state.stage, 'ended');
	t.like(actions.at(-1), refused);
	t.deepEqual(after([{type: 'instance-stopping', answersDueAt: 1000}]).actions, []);
});

test('a request that was sent goes on during the stop, and is sent again while time is left', t => {
	t.deepEqual(after([...sent, tooEarly]).actions, []);
	t.like(after([...sent, tooEarly, broken]).actions, [{type: 'choose-server', attempt: 2}]);
	t.like(after([...sent, tooEarly, broken], 999).actions.at(-1), {type: 'refuse', failure: {kind: 'outcome-unknown', outcome: 'unknown'}});
});

test('a request that a server has not run is not sent again if it ends too late', t => {
	t.like(after([...sent, tooEarly, {type: 'attempt-not-run', attempt: 1}]).actions.at(-1), refused);
});

test('what has no answer when the answers are due is given one, and a stream goes on', t => {
	t.like(after([...sent, tooEarly, {type: 'answers-due'}]).actions.at(-1), {type: 'refuse', failure: {kind: 'deadline-exceeded-after-dispatch', outcome: 'unknown'}});
	const piece: RequestEvent = {
		type: 'attempt-piece', attempt: 1, offset: 0, length: 3, tokens: 1,
	};
	t.deepEqual(after([...sent, {type: 'attempt-head', attempt: 1}, piece, tooEarly, {type: 'answers-due'}]).actions, []);
});
