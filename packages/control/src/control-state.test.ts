import test from 'ava';
import {
	type Bill, type ChangeId, emptyConfiguration, type InstanceId, type Micros, type RequestId, toId, toRevision, type WorkspaceId,
} from '@valehitch/core';
import {Packr} from 'msgpackr';
import {type Command} from './command.js';
import {defaultControlLimits} from './control-limits.js';
import {ControlState} from './control-state.js';
import {type IdempotencyKey} from './ids.js';

const day = 86_400_000;
const workspace = toId<WorkspaceId>('yard');
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

test('bills of an instance that was silent for a month are refused as expired and never recorded twice', t => {
	const state = new ControlState();
	t.deepEqual(record(state, billOf(1, 1000)), {recorded: 1, expired: 0});
	state.apply({type: 'expire', at: 29 * day}, position);
	t.deepEqual(record(state, billOf(1, 1000)), {recorded: 0, expired: 0});
	state.apply({type: 'expire', at: 31 * day}, position);
	t.deepEqual(record(state, billOf(1, 1000), billOf(2, 1000)), {recorded: 0, expired: 2});
	t.deepEqual(record(state, billOf(1, 2000)), {recorded: 1, expired: 0});
	t.deepEqual(state.totalOf(workspace), {bills: 2, micros: 2});
});

test('an origin with thousands of holes closes the lowest, and tells that it did', t => {
	const state = new ControlState();
	for (let sequence = 1; sequence <= 10_000; sequence += 2) {
		state.apply({type: 'record-bills', bills: [billOf(sequence, 1000)]}, position);
	}

	t.deepEqual(record(state, billOf(1, 1000)), {recorded: 0, expired: 1});
	t.deepEqual(record(state, billOf(9999, 1000), billOf(9998, 1000)), {recorded: 1, expired: 0});
});

test('a conflict tells who changed what since', t => {
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

test('limits are part of the snapshot, and another format is refused', t => {
	const state = new ControlState();
	state.apply({type: 'set-limits', limits: {...defaultControlLimits, changeIds: 7}}, position);
	t.is(ControlState.fromSnapshot(state.toSnapshot()).limits.changeIds, 7);
	t.throws(() => ControlState.fromSnapshot(new Packr({useRecords: true}).pack({format: 9})), {message: 'Got a snapshot of format 9, wanted format 1'});
});

test('kept bodies count against their bound after a snapshot, and the oldest is dropped', t => {
	const request = toId<RequestId>('r1');
	const keep = (state: ControlState, key: string) => {
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
	t.true(keep(state, 'k1'));
	const restored = ControlState.fromSnapshot(state.toSnapshot());
	t.true(keep(restored, 'k2'));
	t.false(keep(restored, 'k1'));
});
