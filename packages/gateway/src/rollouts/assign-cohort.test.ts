import {type ServiceId, type VersionId} from '@valehitch/core';
import test from 'ava';
import {assignCohort, type AssignCohortOptions, shiftStartShare} from './assign-cohort.js';
import {type RolloutWithAge} from './rollout.js';

const target = 'v2' as VersionId;
const oldVersion = 'v1' as VersionId;
const rollout: RolloutWithAge = {
	service: 'summaries' as ServiceId, target, duration: 20_000, stage: 'canary', orderedAt: 0, age: 4000,
};

test('the share of sessions assigned to the target is close to the canary share, and each session keeps its cohort', t => {
	let onTarget = 0;
	for (let index = 0; index < 4000; index++) {
		const options: AssignCohortOptions = {
			hashKey: `${index.toString(16)}f00d`, hasSession: false, pinnedVersion: undefined, canaryShare: 0.1,
		};
		const cohort = assignCohort(rollout, options);
		t.is(assignCohort({...rollout, age: 9000}, options), cohort);
		onTarget += cohort === 'target' ? 1 : 0;
	}

	t.true(onTarget > 320 && onTarget < 480, `${onTarget} of 4000`);
});

test('a session that may have started on the old version stays there for the first half', t => {
	const options: AssignCohortOptions = {
		hashKey: 'any', hasSession: true, pinnedVersion: undefined, canaryShare: 1,
	};
	t.is(assignCohort(rollout, options), 'others');
	t.is(assignCohort({...rollout, age: 10_000}, options), 'target');
});

test('a session keeps its version for the first half, and one on the target keeps it afterwards', t => {
	const options: AssignCohortOptions = {
		hashKey: 'any', hasSession: true, pinnedVersion: oldVersion, canaryShare: 1,
	};
	t.is(assignCohort(rollout, options), 'others');
	t.is(assignCohort({...rollout, age: 10_000}, options), 'target');
	t.is(assignCohort({...rollout, age: 10_000}, {...options, canaryShare: 0, pinnedVersion: target}), 'target');
});

test('while shifting, the share of the target grows to all sessions, and sessions on the target stay there', t => {
	const reached = new Set<number>();
	let returned = 0;
	for (let age = 11_600; age <= 15_600; age += 400) {
		for (let index = 0; index < 200; index++) {
			const cohort = assignCohort({...rollout, stage: 'shifting', age}, {
				hashKey: `${index.toString(16)}cafe`, hasSession: true, pinnedVersion: oldVersion, canaryShare: 0.1,
			});
			returned += cohort === 'others' && reached.has(index) ? 1 : 0;
			if (cohort === 'target') {
				reached.add(index);
			}
		}
	}

	t.is(returned, 0);
	t.is(reached.size, 200);
});

test('all new requests go to the target after completion, and none after a rollback', t => {
	const options: AssignCohortOptions = {
		hashKey: 'any', hasSession: false, pinnedVersion: target, canaryShare: 0,
	};
	t.is(assignCohort({...rollout, stage: 'completed'}, options), 'target');
	t.is(assignCohort({...rollout, stage: 'rolled-back'}, options), 'others');
});

// A version that only sessions use had received five answers in all when its traffic began to grow.
test('sessions receive the whole canary allowance in the part of the canary stage in which they may use the target', t => {
	const canaryShare = 0.09;
	let onTarget = 0;
	let requests = 0;
	for (let age = 0; age < shiftStartShare * rollout.duration; age += 10) {
		const cohort = assignCohort({...rollout, age}, {
			hashKey: `${(age * 7919).toString(16)}beef`, hasSession: true, pinnedVersion: undefined, canaryShare,
		});
		requests++;
		onTarget += cohort === 'target' ? 1 : 0;
		t.true(age >= 10_000 || cohort === 'others');
	}

	t.true(onTarget > 0.75 * canaryShare * requests && onTarget < 1.25 * canaryShare * requests, `${onTarget} of ${requests}`);
});
