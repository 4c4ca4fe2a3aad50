import {
	type ServiceId, toId, type WorkspaceId,
} from '@valehitch/core';
import {DecisionNotes, noPicture, type PoolPicture} from '@valehitch/routing';
import test from 'ava';
import {testRoute} from '../configuration/_test-configuration.js';
import {createGatewayMetrics} from '../logs/gateway-metrics.js';
import {testServer} from '../servers/_test-server.js';
import {type AdmissionCandidate, RequestAdmission} from './request-admission.js';

const service = toId<ServiceId>('labels');
const server = testServer();
const urgent = testRoute({priority: 0, targetLatency: 1500});
const patient = testRoute({priority: 2, targetLatency: 6000});

function pictureOf(reading: number): PoolPicture {
	return {age: 100, workAt: () => ({reading, streams: 0, slowness: 1}), heldByOthers: []};
}

/** An admission on a simulated clock, which passes with each wait. */
function newAdmission(picture: (now: number) => PoolPicture) {
	const state = {now: 0, endsAt: undefined as number | undefined, lines: [] as Array<readonly [string, Readonly<Record<string, unknown>>]>};
	const metrics = createGatewayMetrics();
	const notes = new DecisionNotes();
	const admission = new RequestAdmission({
		clock: {monotonic: () => state.now},
		random: () => 0.5,
		log(kind, fields) {
			state.lines.push([kind, fields]);
		},
		metrics,
		notes,
		availability: {availableOf: () => [server.id]},
		picture: () => picture(state.now),
		table: () => ({routesWithModels: () => [urgent, patient]}),
		async wait(milliseconds) {
			state.now += milliseconds;
		},
		endsAt: () => state.endsAt,
	});
	return {
		admission, state, metrics, notes,
	};
}

function candidateOf(changes: Partial<AdmissionCandidate> = {}): AdmissionCandidate {
	return {
		request: 'a1', service, priority: 2, workspace: toId<WorkspaceId>('mills'), work: 200, targetLatency: 6000, arrivedAt: 0, deadlineAt: 25_000, ended: new AbortController().signal, ...changes,
	};
}

test('without a picture, in a shutdown and for the most urgent requests nothing is held or logged', async t => {
	const unknown = newAdmission(() => noPicture);
	t.is(await unknown.admission.admit(candidateOf()), undefined);
	const stopping = newAdmission(() => pictureOf(2000));
	stopping.state.endsAt = 5000;
	t.is(await stopping.admission.admit(candidateOf()), undefined);
	const busy = newAdmission(() => pictureOf(2000));
	t.is(await busy.admission.admit(candidateOf({priority: 0})), undefined);
	for (const {state} of [unknown, stopping, busy]) {
		t.is(state.now, 0);
		t.deepEqual(state.lines, []);
	}
});

test('a request is held until there is room, and its hold is logged and counted', async t => {
	const {admission, state, metrics} = newAdmission(now => pictureOf(now < 400 ? 2000 : 100));
	const admitted = admission.admit(candidateOf());
	t.deepEqual(admission.heldWork(), [{priority: 2, milliseconds: 200}]);
	t.is(await admitted, undefined);
	t.deepEqual(admission.heldWork(), []);
	t.true(state.now >= 400 && state.now <= 600, `held for ${state.now} ms`);
	t.like(state.lines, [['request-held', {request: 'a1', reason: 'room', held: state.now}]]);
	t.like(await metrics.releases.get(), {values: [{labels: {reason: 'room'}, value: 1}]});
	t.like(await metrics.heldRequests.get(), {values: [{value: 0}]});
});

test('a request is held for no longer than a quarter of its target latency', async t => {
	const {admission, state} = newAdmission(() => pictureOf(9000));
	t.is(await admission.admit(candidateOf()), undefined);
	t.true(state.now <= 1500 && state.now >= 1400, `held for ${state.now} ms`);
	t.like(state.lines, [['request-held', {reason: 'time'}]]);
});

test('a shutdown and the loss of the picture release what is held', async t => {
	const {admission, state} = newAdmission(now => now < 200 ? pictureOf(9000) : noPicture);
	await admission.admit(candidateOf());
	t.is(state.now, 200);
	const stopping = newAdmission(() => pictureOf(9000));
	const admitted = stopping.admission.admit(candidateOf());
	stopping.state.endsAt = 5000;
	await admitted;
	t.is(stopping.state.now, 40);
	t.like(stopping.state.lines, [['request-held', {reason: 'off'}]]);
});

test('a held request whose caller leaves is dropped at once', async t => {
	const {admission, state} = newAdmission(() => pictureOf(9000));
	const caller = new AbortController();
	const admitted = admission.admit(candidateOf({ended: caller.signal}));
	caller.abort();
	t.deepEqual(admission.heldWork(), []);
	t.is(await admitted, undefined);
	t.like(state.lines, [['request-held', {reason: 'ended'}]]);
	t.is(await admission.admit(candidateOf({ended: caller.signal})), undefined);
});

test('a request that no server can serve in time is rejected as not run, and the log tells what was lacking', async t => {
	const {admission, state, metrics} = newAdmission(() => pictureOf(9000));
	const rejected = await admission.admit(candidateOf({deadlineAt: 6000}));
	t.like(rejected, {kind: 'overloaded', retryAfterMilliseconds: 1666});
	t.like(state.lines, [['request-rejected', {
		request: 'a1', workBefore: 8175, room: 0, held: 0, predicted: 9200, overrun: 3200, retryAfter: 1666,
	}]]);
	t.like(await metrics.rejections.get(), {values: [{value: 1}]});
	t.is(state.now, 0);
});

test('each held request is released once, and the loop ends with the last one', async t => {
	const {admission, state} = newAdmission(() => pictureOf(9000));
	await Promise.all(['a', 'b', 'c'].map(async request => admission.admit(candidateOf({request}))));
	t.is(state.lines.length, 3);
	const {now} = state;
	await admission.admit(candidateOf({arrivedAt: now, deadlineAt: now + 25_000}));
	t.is(state.lines.length, 4);
});

test('the delay of a return is predicted only while the servers are known to be busy', t => {
	t.is(newAdmission(() => noPicture).admission.retryAfter(candidateOf()), undefined);
	t.is(newAdmission(() => pictureOf(100)).admission.retryAfter(candidateOf()), undefined);
	// (1175 ms beyond the bound + 200 ms of its own) / 1 server, longer by a quarter.
	t.is(newAdmission(() => pictureOf(2000)).admission.retryAfter(candidateOf()), 1718);
});

test('an operator sees why a request was held or rejected, and what was lacking', async t => {
	const {admission, state, notes} = newAdmission(now => pictureOf(now < 400 ? 2000 : 100));
	await admission.admit(candidateOf());
	const {now} = state;
	t.deepEqual(notes.get('a1'), [{
		at: 0, kind: 'held', facts: {
			service, priority: 2, work: 200, wait: 2000, bound: 825, room: 0, heldHere: 0, heldByOthers: 0, predicted: 2200,
		},
	}, {at: now, kind: 'released', facts: {reason: 'room', heldMilliseconds: now}}]);

	const rejecting = newAdmission(() => pictureOf(9000));
	await rejecting.admission.admit(candidateOf({deadlineAt: 6000}));
	t.deepEqual(rejecting.notes.get('a1'), [{
		at: 0, kind: 'rejected', facts: {
			service, priority: 2, work: 200, wait: 2250, bound: 825, room: 0, heldHere: 0, heldByOthers: 0, predicted: 9200, workBefore: 8175, overrun: 3200, retryAfterMilliseconds: 1666,
		},
	}]);
});
