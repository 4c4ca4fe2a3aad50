import {type ServerId} from '@valehitch/core';
import test from 'ava';
import fc from 'fast-check';
import {targets} from './_test-request-audit.js';
import {SimulatedWorld} from './_test-simulated-world.js';
import {type RequestEvent} from './request-event.js';
import {startRequest, stepRequest} from './request-state-machine.js';
import {type RequestPlan} from './request-plan.js';

const seed = 20_261_202;
const cases = 8000;
const steps = 60;
const minimumPerEnding = 20;
const expectedEndings = ['finish-answer', 'replay-answer', 'refuse notRun', 'refuse ran', 'refuse unknown', 'none'];
const purposes = ['first', 'retry', 'hedge', 'escalation', 'resume'];

const plans: fc.Arbitrary<RequestPlan> = fc.record({
	target: fc.constantFrom(...targets),
	session: fc.constantFrom('none', 'token', 'name'),
	repeatable: fc.boolean(),
	requiresClaim: fc.boolean(),
	streamed: fc.boolean(),
	judged: fc.boolean(),
	deadline: fc.constant(1000),
	promptTokens: fc.constant(7),
	hedge: fc.constant({prefillMilliseconds: 10, decodeMilliseconds: 5}),
	maximumAttempts: fc.integer({min: 1, max: 5}),
	serverRetryMilliseconds: fc.constantFrom(0, 20),
	finishAfterCallerLeaves: fc.boolean(),
} satisfies {readonly [Key in keyof RequestPlan]: fc.Arbitrary<RequestPlan[Key]>});

test('a request keeps its invariants under random events', t => {
	const endings = new Map<string, number>();
	fc.assert(
		fc.property(plans, fc.array(fc.nat(100_000), {minLength: 60, maxLength: 400, size: 'max'}), (plan, choices) => {
			const world = new SimulatedWorld(plan, choices);
			try {
				world.run(steps);
			} catch (error) {
				throw new Error(`${String(error)}\n${world.trace.join('\n')}`, {cause: error});
			}

			const {ending, runs} = world.audit;
			for (const name of [ending, `${ending} after ${runs.at(-1)?.dispatch.purpose ?? 'no attempt'}`]) {
				endings.set(name, (endings.get(name) ?? 0) + 1);
			}
		}),
		// Shrinking takes minutes, so it is disabled; the report has the seed, the path and the whole trace. Remove `endOnFailure` to shrink a failure.
		{
			seed, numRuns: cases, includeErrorInReport: true, endOnFailure: true,
		},
	);
	t.log([...endings].map(([ending, count]) => `${ending} ${count}`).join(', '));
	for (const ending of [...expectedEndings, ...purposes.map(purpose => `finish-answer after ${purpose}`)]) {
		t.true((endings.get(ending) ?? 0) > minimumPerEnding, `Too few requests ended with ${ending}`);
	}
});

const server = 'engine-1' as ServerId;
const plainPlan: RequestPlan = {
	target: targets[0]!, session: 'none', repeatable: false, requiresClaim: false, streamed: false, judged: false, deadline: 1000, promptTokens: 7,
};

/** Returns the server requests among the actions of the last of some events. */
function serverRequestsAfter(events: readonly RequestEvent[], plan = plainPlan) {
	let step = startRequest(plan);
	for (const event of events) {
		step = stepRequest(step.state, {event, now: 1});
	}

	return step.actions.filter(({type}) => type === 'choose-server');
}

test('after a connection that never opened the next attempt is still a first one, and after a request that did not run it is a retry', t => {
	const started: readonly RequestEvent[] = [{type: 'admitted'}, {type: 'bill-opened'}, {type: 'server-chosen', attempt: 1, server}];
	t.like(serverRequestsAfter([...started, {type: 'attempt-never-sent', attempt: 1}]), [{attempt: 2, purpose: 'first', excluded: [server]}]);
	t.like(serverRequestsAfter([...started, {type: 'attempt-not-run', attempt: 1}]), [{attempt: 2, purpose: 'retry', excluded: [server]}]);
});

test('after a reused connection broke, the next attempt opens a new connection to any server and is not charged to the retry budget', t => {
	const plan = {...plainPlan, repeatable: true};
	const started: readonly RequestEvent[] = [{type: 'admitted'}, {type: 'bill-opened'}, {type: 'server-chosen', attempt: 1, server}];
	const lost: RequestEvent = {type: 'attempt-connection-lost', attempt: 1, message: 'Closed'};
	t.like(serverRequestsAfter([...started, lost], plan), [{
		attempt: 2, purpose: 'first', excluded: [], budgeted: false,
	}]);
	let step = startRequest(plan);
	for (const event of [...started, lost, {type: 'server-chosen', attempt: 2, server} as const]) {
		step = stepRequest(step.state, {event, now: 1});
	}

	t.like(step.actions, [{
		type: 'dispatch', attempt: 2, server, freshConnection: true,
	}]);
	step = stepRequest(step.state, {event: {type: 'attempt-never-sent', attempt: 2}, now: 2});
	step = stepRequest(step.state, {
		event: {
			type: 'no-server', attempt: 3, reason: 'none', retryAfterMilliseconds: 10,
		}, now: 3,
	});
	// The first attempt may have run, even though the second was never sent.
	t.like(step.actions.at(-1), {type: 'refuse', failure: {kind: 'outcome-unknown', outcome: 'unknown'}});
});

test('a retry whose server is shutting down is charged to its budget once', t => {
	const plan = {...plainPlan, repeatable: true};
	const other = 'engine-2' as ServerId;
	const started: readonly RequestEvent[] = [
		{type: 'admitted'}, {type: 'bill-opened'}, {type: 'server-chosen', attempt: 1, server}, {type: 'attempt-broken', attempt: 1, message: 'Cut'},
	];
	t.like(serverRequestsAfter(started, plan), [{attempt: 2, purpose: 'retry', budgeted: true}]);
	const chosen = [...started, {type: 'server-chosen', attempt: 2, server: other}] as const;
	t.like(serverRequestsAfter([...chosen, {type: 'dispatch-denied', attempt: 2, reason: 'server-draining'}], plan), [{attempt: 3, purpose: 'retry', budgeted: false}]);
	t.like(serverRequestsAfter([...started, {type: 'server-draining', server: other}, {type: 'server-chosen', attempt: 2, server: other}], plan), [{attempt: 2, purpose: 'retry', budgeted: false}]);
});

test('a retry whose connection never opened is charged to its budget once', t => {
	const started: readonly RequestEvent[] = [{type: 'admitted'}, {type: 'bill-opened'}, {type: 'server-chosen', attempt: 1, server}];
	const cut: RequestEvent = {type: 'attempt-broken', attempt: 1, message: 'Cut'};
	const chosen: RequestEvent = {type: 'server-chosen', attempt: 2, server: 'engine-2' as ServerId};
	t.like(serverRequestsAfter([...started, cut, chosen, {type: 'attempt-never-sent', attempt: 2}], {...plainPlan, repeatable: true}), [{attempt: 3, purpose: 'retry', budgeted: false}]);
});

const waitingPlan: RequestPlan = {
	...plainPlan, repeatable: true, streamed: true, serverRetryMilliseconds: 50,
};
const startedRequest: readonly RequestEvent[] = [{type: 'admitted'}, {type: 'bill-opened'}, {type: 'server-chosen', attempt: 1, server}];
const broken: RequestEvent = {type: 'attempt-broken', attempt: 1, message: 'Cut'};

function noServer(attempt: number): RequestEvent {
	return {
		type: 'no-server', attempt, reason: 'none', retryAfterMilliseconds: 500,
	};
}

/** Returns the last step of a request that may wait for a server. */
function lastStep(events: readonly RequestEvent[], now = 1) {
	let step = startRequest(waitingPlan);
	for (const event of events) {
		step = stepRequest(step.state, {event, now});
	}

	return step;
}

test('without a server left, a request that may have run waits, and one that did not run or that failed is refused at once', t => {
	const endOf = (event: RequestEvent): string => lastStep([...startedRequest, event, noServer(2)]).state.stage;
	t.is(endOf(broken), 'waiting');
	t.is(endOf({type: 'attempt-not-run', attempt: 1}), 'ended');
	t.is(endOf({type: 'attempt-failed', attempt: 1, message: 'Failed'}), 'ended');
});

test('a request that broke after its head and before its first piece waits for a server', t => {
	const step = lastStep([...startedRequest, {type: 'attempt-head', attempt: 1}, broken, noServer(2)]);
	t.is(step.state.stage, 'waiting');
});

test('a request that finds no server after a wait retries until its deadline', t => {
	const comeBack: RequestEvent = {type: 'timer', timer: 'come-back'};
	const waitedTwice = [...startedRequest, broken, noServer(2), comeBack, noServer(3), comeBack, noServer(4)];
	t.is(lastStep(waitedTwice).state.stage, 'waiting');
	t.is(lastStep(waitedTwice, waitingPlan.deadline).state.stage, 'ended');
});

test('a stalled attempt stays open while no other server can replace it, and may continue', t => {
	const silent: RequestEvent = {type: 'attempt-silent', attempt: 1};
	const kept = lastStep([...startedRequest, silent, noServer(2)]);
	t.is(kept.state.stage, 'running');
	t.deepEqual(kept.actions, [{type: 'set-timer', timer: 'come-back', at: 51}]);
	const resumed = lastStep([...startedRequest, silent, noServer(2), {
		type: 'attempt-piece', attempt: 1, offset: 0, length: 3, tokens: 1,
	}, {type: 'timer', timer: 'come-back'}]);
	t.is(resumed.state.deliveredBytes, 3);
	t.deepEqual(resumed.actions, []);
});

test('a stalled attempt is cancelled once another server delivers a piece', t => {
	const step = lastStep([...startedRequest, {type: 'attempt-silent', attempt: 1}, {type: 'server-chosen', attempt: 2, server: 'engine-2' as ServerId}]);
	t.like(step.actions, [{type: 'dispatch', attempt: 2}]);
	const delivered = stepRequest(step.state, {
		event: {
			type: 'attempt-piece', attempt: 2, offset: 0, length: 3, tokens: 1,
		}, now: 2,
	});
	t.deepEqual(delivered.actions, [{type: 'cancel-attempt', attempt: 1}, {type: 'forward-piece', attempt: 2, offset: 0}]);
});

test('connections that never opened do not count towards the attempt limit of a request that may have run', t => {
	const events: RequestEvent[] = [...startedRequest, broken];
	for (let attempt = 2; attempt < 6; attempt++) {
		events.push({type: 'server-chosen', attempt, server: `engine-${attempt}` as ServerId}, {type: 'attempt-never-sent', attempt});
	}

	t.is(lastStep(events).state.stage, 'waiting');
	const asked = stepRequest(lastStep(events).state, {event: {type: 'timer', timer: 'come-back'}, now: 60});
	t.like(asked.actions, [{type: 'choose-server', attempt: 6, excluded: []}]);
});
