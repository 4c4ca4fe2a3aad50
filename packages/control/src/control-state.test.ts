import test from 'ava';
import {
	type Bill, type ChangeId, emptyConfiguration, type InstanceId, type Micros, type RequestId, toId, toRevision, type WorkspaceId,
} from '@valehitch/core';
import {Packr} from 'msgpackr';
import {clockReadIntervalMilliseconds} from './clock-read-interval.js';
import {type Command} from './command.js';
import {defaultControlLimits} from './control-limits.js';
import {ControlState} from './control-state.js';
import {type IdempotencyKey} from './ids.js';

const minute = 60_000;
const day = 1440 * minute;
const workspace = toId<WorkspaceId>('team-a');
const position = {term: 1, index: 1};

function billOf(sequence: number, startedAt: number): Bill {
	return {
		workspace,
		request: toId<RequestId>(`r${startedAt}-${sequence}`),
		instance: toId<InstanceId>('entry-1'), lines: [], total: 1 as Micros, outcome: 'answered', settledAt: startedAt, origin: {startedAt, sequence},
	};
}

function record(state: ControlState, ...bills: readonly Bill[]) {
	return state.apply({type: 'record-bills', bills}, position).map(({recorded, expired}) => ({recorded, expired: expired.length})).extract();
}

function refused(state: ControlState): readonly Bill[] {
	return state.readLedger({after: 0, limit: 10, isRefused: true}).bills;
}

/** Records readings of a leader's clock at the longest interval that advances the replicated clock in full. `error` is added to each reading. */
function passTime(state: ControlState, {from, to, error = 0}: {readonly from: number; readonly to: number; readonly error?: number}): void {
	for (let at = from; at <= to; at += 2 * clockReadIntervalMilliseconds) {
		state.apply({type: 'expire', at: at + error}, position);
	}
}

test('bills of a run that was inactive for a month are refused as expired and never recorded twice', t => {
	const state = new ControlState();
	t.deepEqual(record(state, billOf(1, 1000)), {recorded: 1, expired: 0});
	passTime(state, {from: 0, to: 29 * day});
	t.deepEqual(record(state, billOf(1, 1000)), {recorded: 0, expired: 0});
	passTime(state, {from: 29 * day, to: 60 * day});
	t.deepEqual(record(state, billOf(1, 1000), billOf(2, 1000)), {recorded: 0, expired: 2});
	t.deepEqual(record(state, billOf(1, 2000)), {recorded: 1, expired: 0});
	t.deepEqual(state.workspaceTotal(workspace), {bills: 2, micros: 2});
});

/*
Guards against refusing all bills of a running instance.
This happened if the clock of the instance was behind by more than a month: the leader compared its own clock with the dates of the bills, considered the run inactive for a month, and refused its next bills as expired.
*/
test('a run whose instance has a clock that is behind by years is not evicted', t => {
	const state = new ControlState();
	passTime(state, {from: 10_000 * day, to: (10_000 * day) + (5 * minute)});
	t.deepEqual(record(state, billOf(1, 1000)), {recorded: 1, expired: 0});
	passTime(state, {from: (10_000 * day) + (6 * minute), to: 10_001 * day});
	t.deepEqual(record(state, billOf(2, 1000), billOf(1, 1000)), {recorded: 1, expired: 0});
});

/*
Guards against losing the first bills of an instance that was idle for more than a month.
This happens if only bills mark a run as active.
*/
test('an idle run that keeps sending empty commands is not evicted, and one that sends nothing is', t => {
	const state = new ControlState();
	state.apply({type: 'set-limits', limits: {...defaultControlLimits, originMilliseconds: 10 * minute}}, position);
	const running = {instance: toId<InstanceId>('entry-1'), startedAt: 1000};
	t.deepEqual(record(state, billOf(1, 1000)), {recorded: 1, expired: 0});
	for (let from = 0; from < day; from += 5 * minute) {
		passTime(state, {from, to: from + (5 * minute)});
		state.apply({type: 'record-bills', bills: [], running}, position);
	}

	t.deepEqual(record(state, billOf(1, 1000), billOf(2, 1000)), {recorded: 1, expired: 0});
	passTime(state, {from: day, to: day + (12 * minute)});
	state.apply({type: 'record-bills', bills: [], running}, position);
	t.deepEqual(record(state, billOf(2, 1000)), {recorded: 0, expired: 1});
});

test('a leader whose clock is temporarily wrong by a year does not cause running instances to be evicted', t => {
	const state = new ControlState();
	passTime(state, {from: 10_000 * day, to: 10_001 * day});
	t.deepEqual(record(state, billOf(1, 1000)), {recorded: 1, expired: 0});
	passTime(state, {from: 10_001 * day, to: 10_002 * day, error: 366 * day});
	passTime(state, {from: 10_002 * day, to: 10_003 * day});
	passTime(state, {from: 10_003 * day, to: 10_004 * day, error: -366 * day});
	t.deepEqual(record(state, billOf(1, 1000), billOf(2, 1000)), {recorded: 1, expired: 0});
});

test('the first bill of a run that started before an evicted run of another instance is recorded', t => {
	const state = new ControlState();
	state.apply({type: 'set-limits', limits: {...defaultControlLimits, originMilliseconds: 10 * minute}}, position);
	const first = {...billOf(1, 1000), instance: toId<InstanceId>('entry-2')};
	t.deepEqual(record(state, billOf(1, 2000)), {recorded: 1, expired: 0});
	passTime(state, {from: 0, to: 12 * minute});
	t.deepEqual(record(state, billOf(2, 2000)), {recorded: 0, expired: 1});
	t.deepEqual(record(state, first), {recorded: 1, expired: 0});
	t.deepEqual(record(ControlState.fromSnapshot(state.toSnapshot()), first, billOf(2, 2000)), {recorded: 0, expired: 1});
});

test('bills of a run that starts with an earlier clock than an evicted run of the same instance are recorded', t => {
	const state = new ControlState();
	state.apply({type: 'set-limits', limits: {...defaultControlLimits, originMilliseconds: 10 * minute}}, position);
	t.deepEqual(record(state, billOf(1, 10_000 * day)), {recorded: 1, expired: 0});
	passTime(state, {from: 0, to: 12 * minute});
	const restored = ControlState.fromSnapshot(state.toSnapshot());
	t.deepEqual(record(restored, billOf(1, 1000), billOf(2, 1000), billOf(1, 10_000 * day)), {recorded: 2, expired: 1});
});

test('a snapshot of a version that expired records by date keeps its record of bills', t => {
	const packr = new Packr({useRecords: true, structuredClone: false});
	const state = new ControlState();
	state.apply({type: 'set-limits', limits: {...defaultControlLimits, originMilliseconds: 10 * minute}}, position);
	t.deepEqual(record(state, billOf(1, 1000)), {recorded: 1, expired: 0});
	const {time, ledger: {originFloors, forgottenOrigins, ...ledger}, ...data} = packr.unpack(state.toSnapshot()) as {
		time: unknown; ledger: {originFloors: unknown; forgottenOrigins: unknown; origins: ReadonlyArray<readonly [string, Readonly<Record<string, unknown>>]>};
	};
	t.deepEqual([time, originFloors, forgottenOrigins], [{elapsed: 0, readAt: undefined}, [], []]);
	const origins = ledger.origins.map(([key, origin]) => [key, {...origin, lastAt: 10_000 * day}]);
	const restored = ControlState.fromSnapshot(packr.pack({...data, ledger: {...ledger, origins, forgottenOriginsBefore: 500}}));
	t.deepEqual(record(restored, billOf(1, 1000), billOf(2, 1000), billOf(1, 499)), {recorded: 1, expired: 1});
	passTime(restored, {from: 0, to: 12 * minute});
	t.deepEqual(record(restored, billOf(3, 1000)), {recorded: 0, expired: 1});
});

test('no bill is recorded twice after thousands of instance names were used once', t => {
	const state = new ControlState();
	state.apply({type: 'set-limits', limits: {...defaultControlLimits, originMilliseconds: 10 * minute}}, position);
	// More than the limits of evicted runs and of floors per instance together.
	const instances = 20_001;
	const billsOfInstances = Array.from({length: instances}, (_, index) => ({...billOf(1, 1000 + index), instance: toId<InstanceId>(`entry-${index}`)}));
	t.deepEqual(record(state, ...billsOfInstances), {recorded: instances, expired: 0});
	passTime(state, {from: 0, to: 12 * minute});
	t.deepEqual(record(state, ...billsOfInstances), {recorded: 0, expired: instances});
});

test('an origin with thousands of sequence gaps drops its lowest ranges and refuses bills from them', t => {
	const state = new ControlState();
	for (let sequence = 1; sequence <= 10_000; sequence += 2) {
		state.apply({type: 'record-bills', bills: [billOf(sequence, 1000)]}, position);
	}

	t.deepEqual(record(state, billOf(1, 1000)), {recorded: 0, expired: 1});
	t.deepEqual(record(state, billOf(9999, 1000), billOf(9998, 1000)), {recorded: 1, expired: 0});
});

test('a revision conflict lists the changes since the expected revision with operator and paths', t => {
	const state = new ControlState();
	const change = (id: string, expectedRevision: number): Command => ({
		type: 'apply-configuration',
		changeId: toId<ChangeId>(id),
		digest: id,
		expectedRevision: toRevision(expectedRevision),
		operator: `key-of-${id}`,
		at: 5,
		document: {...emptyConfiguration, services: {[id]: {repeatable: [], pricePerCall: 0}}},
	});
	state.apply(change('labels', 0), position);
	const failed = state.apply(change('records', 0), position).swap().orDefault({kind: 'internal', message: ''});
	t.is(failed.kind, 'revision-conflict');
	t.deepEqual(failed.details, {
		currentRevision: 1, changes: [{
			revision: 1, cause: {type: 'operator', operator: 'key-of-labels', changeId: 'labels'}, at: 5, paths: ['services.labels'],
		}],
	});
});

test('a snapshot includes the limits, and an unsupported format is rejected', t => {
	const state = new ControlState();
	state.apply({type: 'set-limits', limits: {...defaultControlLimits, changeIds: 7}}, position);
	t.is(ControlState.fromSnapshot(state.toSnapshot()).limits.changeIds, 7);
	t.throws(() => ControlState.fromSnapshot(new Packr({useRecords: true}).pack({format: 9})), {message: 'Unsupported snapshot format 9: expected 1'});
});

test('stored bodies count towards their limit after a restore, and the oldest is dropped', t => {
	const request = toId<RequestId>('r1');
	const storeBody = (state: ControlState, key: string) => {
		const claim = {workspace, key: toId<IdempotencyKey>(key), request};
		state.apply({
			type: 'take-claim', ...claim, requestDigest: 'd', instance: toId<InstanceId>('entry-1'), at: 1,
		}, position);
		return state.apply({
			type: 'settle-claim',
			...claim,
			settlement: {
				type: 'done', answer: {
					status: 200, headers: {}, digest: key, bytes: 8, body: new Uint8Array(8),
				},
			},
			at: 1,
		}, position).map(({claim: found}) => found.type === 'done' && found.answer.body !== undefined).orDefault(false);
	};

	const state = new ControlState();
	state.apply({type: 'set-limits', limits: {...defaultControlLimits, keptAnswerBytesPerWorkspace: 12}}, position);
	t.true(storeBody(state, 'k1'));
	const restored = ControlState.fromSnapshot(state.toSnapshot());
	t.true(storeBody(restored, 'k2'));
	t.false(storeBody(restored, 'k1'));
});

/*
Guards against a second run of a request with an idempotency key.
This happened because the leader compared its own wall clock with the dates that other machines gave to the claims: a leader whose clock was ahead by a day deleted all settled claims and settled all open ones as unknown.
*/
test('a leader whose clock is temporarily wrong by a year deletes no settled claim and settles no open one', t => {
	const state = new ControlState();
	const claim = {workspace, request: toId<RequestId>('r1'), at: 10_000 * day};
	const take = (key: string, request = 'r2') => state.apply({
		type: 'take-claim', ...claim, key: toId<IdempotencyKey>(key), request: toId<RequestId>(request), requestDigest: 'd', instance: toId<InstanceId>('entry-1'),
	}, position).map(({claim: found}) => found.type).extract();
	passTime(state, {from: 10_000 * day, to: (10_000 * day) + minute});
	take('settled', 'r1');
	take('open', 'r1');
	state.apply({
		type: 'settle-claim', ...claim, key: toId<IdempotencyKey>('settled'), settlement: {
			type: 'done', answer: {
				status: 200, headers: {}, digest: 'a', bytes: 0,
			},
		},
	}, position);
	passTime(state, {from: (10_000 * day) + minute, to: (10_000 * day) + (5 * minute), error: 366 * day});
	passTime(state, {from: (10_000 * day) + (5 * minute), to: (10_000 * day) + (9 * minute), error: -366 * day});
	t.deepEqual([take('settled'), take('open')], ['done', 'in-progress']);
	passTime(state, {from: 10_001 * day, to: 10_002 * day});
	t.deepEqual([take('settled'), take('open')], ['taken', 'unknown']);
});

test('a claim of an instance whose clock is ahead by a year expires on time', t => {
	const state = new ControlState();
	state.apply({type: 'set-limits', limits: {...defaultControlLimits, claimsPerWorkspace: 1, claimMinimumMilliseconds: minute}}, position);
	const claim = {workspace, request: toId<RequestId>('r1'), at: 366 * day};
	const take = (key: string) => state.apply({
		type: 'take-claim', ...claim, key: toId<IdempotencyKey>(key), requestDigest: 'd', instance: toId<InstanceId>('entry-1'),
	}, position).map(({claim: found}) => found.type).mapLeft(({kind}) => kind).extract();
	t.is(take('k1'), 'taken');
	state.apply({
		type: 'settle-claim', ...claim, key: toId<IdempotencyKey>('k1'), settlement: {type: 'unknown'},
	}, position);
	claim.at = 1;
	t.is(take('k2'), 'limit-reached');
	passTime(state, {from: 0, to: 2 * minute});
	t.is(take('k2'), 'taken');
});

test('a refused bill is listed once, also after a restore, and the latest 1,000 are kept', t => {
	const state = new ControlState();
	record(state, billOf(1, 1000));
	passTime(state, {from: 0, to: 60 * day});
	record(state, billOf(2, 1000), billOf(3, 1000));
	record(state, billOf(3, 1000));
	const restored = ControlState.fromSnapshot(state.toSnapshot());
	t.deepEqual(refused(restored), [billOf(2, 1000), billOf(3, 1000)]);
	t.deepEqual(restored.readLedger({
		after: 0, limit: 10, isRefused: true, workspace: 'team-b',
	}).bills, []);
	record(restored, ...Array.from({length: 1000}, (_, index) => billOf(index + 4, 1000)));
	t.is(refused(restored).length, 1000);
	t.deepEqual(refused(restored)[0], billOf(4, 1000));
});
