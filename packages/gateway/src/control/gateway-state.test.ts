import {type ServiceId, type VersionId, type ZoneId} from '@valehitch/core';
import test from 'ava';
import {Packr} from 'msgpackr';
import {evacuatedZones} from '../servers/evacuations.js';
import {GatewayState} from './gateway-state.js';

const service = 'summaries' as ServiceId;
const target = 'v2' as VersionId;

test('the highest version wins in any order, and the content of a version never changes', t => {
	const state = new GatewayState();
	t.like(state.apply({type: 'put-configuration', version: 5, document: 'five'}).unsafeCoerce(), {isNewest: true});
	t.like(state.apply({type: 'put-configuration', version: 3, document: 'three'}).unsafeCoerce(), {isNewest: false, version: 5});
	t.like(state.apply({type: 'put-configuration', version: 5, document: 'other'}).unsafeCoerce(), {isNewest: false});
	t.deepEqual(state.configuration, {version: 5, document: 'five'});
});

test('a configuration that is not newer is answered without a log entry, and a newer one is not', t => {
	const state = new GatewayState();
	t.is(state.answerWithoutCommit({type: 'put-configuration', version: 5, document: 'five'}), undefined);
	state.apply({type: 'put-configuration', version: 5, document: 'five'});
	for (const version of [3, 5]) {
		const command = {type: 'put-configuration', version, document: 'any'} as const;
		t.deepEqual(state.answerWithoutCommit(command), state.apply(command).unsafeCoerce());
	}

	t.is(state.answerWithoutCommit({type: 'put-configuration', version: 6, document: 'six'}), undefined);
});

test('a snapshot restores the whole state', t => {
	const state = new GatewayState();
	state.apply({type: 'put-configuration', version: 5, document: 'five'});
	state.apply({
		type: 'start-rollout', service, target, duration: 1000, orderedAt: 0,
	});
	const restored = new GatewayState(state.toSnapshot());
	t.deepEqual(restored.configuration, state.configuration);
	t.deepEqual(restored.rollouts, state.rollouts);
});

test('a repeated order changes nothing, another order is rejected until the rollout ends, and an ended rollout stays ended', t => {
	const state = new GatewayState();
	const start = {
		type: 'start-rollout', service, target, duration: 1000, orderedAt: 0,
	} as const;
	state.apply(start);
	state.apply({
		type: 'advance-rollout', service, target, stage: 'shifting',
	});
	t.like(state.apply(start).unsafeCoerce(), {rollout: {stage: 'shifting'}});
	t.is(state.apply({...start, target: 'v3' as VersionId}).swap().unsafeCoerce().kind, 'revision-conflict');
	state.apply({
		type: 'advance-rollout', service, target, stage: 'rolled-back',
	});
	state.apply({
		type: 'advance-rollout', service, target, stage: 'completed',
	});
	t.is(state.rollouts[0]?.stage, 'rolled-back');
	t.true(state.apply({...start, target: 'v3' as VersionId}).isRight());
});

const zone = 'hall-a' as ZoneId;

test('an order about a zone that was delayed until a later one was committed changes nothing', t => {
	const state = new GatewayState();
	state.apply({
		type: 'set-evacuation', zone, isEvacuated: true, after: 0,
	});
	state.apply({
		type: 'set-evacuation', zone, isEvacuated: false, after: 1,
	});
	const delayed = state.apply({
		type: 'set-evacuation', zone, isEvacuated: true, after: 0,
	});
	t.true(delayed.isLeft());
	t.false(state.evacuationOf(zone).isEvacuated);
});

test('orders about other zones do not overtake an order, and a repeated one is answered without a log entry', t => {
	const state = new GatewayState();
	const order = {
		type: 'set-evacuation', zone, isEvacuated: true, after: 0,
	} as const;
	state.apply({...order, zone: 'hall-b' as ZoneId});
	t.is(state.answerWithoutCommit(order), undefined);
	t.true(state.apply(order).isRight());
	t.deepEqual(state.answerWithoutCommit(order), {type: 'evacuation', evacuation: {zone, isEvacuated: true, revision: 2}});
	t.deepEqual([...evacuatedZones(state.evacuations)].toSorted(), ['hall-a', 'hall-b']);
});

test('a snapshot keeps the evacuations, and one of a version without them has none', t => {
	const state = new GatewayState();
	state.apply({
		type: 'set-evacuation', zone, isEvacuated: true, after: 0,
	});
	t.deepEqual(new GatewayState(state.toSnapshot()).evacuations, state.evacuations);
	const former = new Packr({useRecords: false, encodeUndefinedAsNil: false}).pack({configuration: {version: 5, document: 'five'}, rollouts: []});
	const restored = new GatewayState(new Uint8Array(former));
	t.deepEqual(restored.evacuations, {revision: 0, zones: []});
	t.is(restored.configuration?.version, 5);
});
