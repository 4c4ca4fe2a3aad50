import test from 'ava';
import {
	type EffectiveConfiguration, type InstanceId, type ModelId, type RequestId, toId, toRevision, type VersionConfiguration, type VersionId, versionKey, type WorkspaceId,
} from '@valehitch/core';
import {type BadVersionAlarm} from '@valehitch/policy';
import {pack} from 'msgpackr';
import {EvidenceCollector} from './evidence-collector.js';
import {type Rating, ratingsSchema} from './rating.js';
import {RatingsTracker} from './ratings-tracker.js';
import {ServedRequestCache} from './served-request-cache.js';
import {SummaryQueue} from './summary-queue.js';

const workspace = toId<WorkspaceId>('yard');
const replaced = {model: toId<ModelId>('m'), version: toId<VersionId>('1')};
const rollingOut = {model: toId<ModelId>('m'), version: toId<VersionId>('2')};
const settledVersion = {state: 'settled', quality: 0.85, prices: {input: 1, output: 1}} as const;
const versions: Record<string, VersionConfiguration> = {
	1: settledVersion, 2: {
		...settledVersion, state: 'rolling-out', replaces: replaced.version, stages: [{share: 0.1, minimumRatings: 0, minimumSeconds: 0}],
	},
};
const rule = {
	name: 'lookup', models: [rollingOut.model], qualityTarget: 0.8, deadlineMilliseconds: 1000, priority: 5,
};
const configuration: EffectiveConfiguration = {
	revision: toRevision(1),
	document: {
		models: {[rollingOut.model]: {versions}},
		services: {},
		workspaces: {
			[workspace]: {
				keyDigests: [], weight: 1, allowed: {[rollingOut.model]: [replaced.version, rollingOut.version]}, services: [], policy: [rule],
			},
		},
	},
	rollouts: {
		[versionKey(rollingOut.model, rollingOut.version)]: {
			...rollingOut, stage: 0, status: 'running', stageStartedAt: 0,
		},
	},
};

type TestInstance = {
	readonly tracker: RatingsTracker;
	readonly alarms: BadVersionAlarm[];
};

function createInstance(name: string): TestInstance {
	const alarms: BadVersionAlarm[] = [];
	const tracker = new RatingsTracker({
		instance: toId<InstanceId>(name),
		startedAt: 1,
		now: () => 1000,
		configuration: () => configuration,
		onAlarm(alarm) {
			alarms.push(alarm);
		},
		remembered: 100,
	});
	return {tracker, alarms};
}

function createRating(id: string, value: number, changes: Partial<Rating> = {}): Rating {
	return {
		requestId: toId<RequestId>(id), ...rollingOut, workspace, class: 'lookup', rating: value, ratedAt: 900, ...changes,
	};
}

const key = {...rollingOut, qualityClass: 'yard/lookup', measure: 'rating'} as const;

test('a rating counts once, for the version that served the request; ratings with unknown ids are counted and ignored', t => {
	const {tracker} = createInstance('a');
	tracker.addServedRequest({
		requestId: toId<RequestId>('r1'), ...replaced, workspace, rule: 'lookup', measure: 'rating', ranAt: 500,
	});
	t.deepEqual(tracker.recordRatings([createRating('r1', 0.1)]), {accepted: 1, doubled: 0, unknown: 0});
	t.is(tracker.quality(key, {value: 0.85}).weight, 0);
	t.true(tracker.quality({...key, ...replaced}, {value: 0.85}).weight > 0.99);
	t.deepEqual(tracker.recordRatings([createRating('r1', 0.1), createRating('r2', 0.1), createRating('r2', 0.9)]), {accepted: 1, doubled: 2, unknown: 0});
	const unknownRatings = [
		createRating('r3', 1, {model: toId<ModelId>('constructor')}),
		createRating('r4', 1, {version: toId<VersionId>('9')}),
		createRating('r5', 1, {workspace: toId<WorkspaceId>('nobody')}),
	];
	t.deepEqual(tracker.recordRatings(unknownRatings), {accepted: 0, doubled: 0, unknown: 3});
	t.deepEqual(tracker.recordRatings([createRating('r6', 1, {class: 'invented'})]), {accepted: 1, doubled: 0, unknown: 0});
	t.true(tracker.quality(key, {value: 0.85}).weight < 1.01);
});

test('a failing version is stopped locally at once and reported once', t => {
	const {tracker, alarms} = createInstance('a');
	const request = {workspace, rule: 'lookup', ranAt: 900};
	for (let index = 0; index < 100; index += 1) {
		tracker.recordOutcome({...request, ...replaced}, false);
	}

	t.false(tracker.isStoppedHere(rollingOut));
	for (let index = 0; index < 60; index += 1) {
		tracker.recordOutcome({...request, ...rollingOut}, index % 2 === 0);
	}

	t.true(tracker.isStoppedHere(rollingOut));
	t.false(tracker.isStoppedHere(replaced));
	t.is(alarms.length, 1);
	t.like(alarms[0], {...rollingOut, measure: 'failures'});
});

test('summaries are small, make up for lost ones, and give every instance the sums over all instances', t => {
	const alarms: BadVersionAlarm[] = [];
	const aggregator = new EvidenceCollector({
		instance: toId<InstanceId>('a'),
		startedAt: 1,
		now: () => 1000,
		onAlarm(alarm) {
			alarms.push(alarm);
		},
	});
	const instances = ['a', 'b', 'c', 'd', 'e', 'f', 'g'].map(name => createInstance(name));
	let largest = 0;
	for (const [round, {tracker}] of instances.entries()) {
		const ratings = Array.from({length: 8}, (_, index) => createRating(`r${round}-${index}`, 0.2));
		tracker.recordRatings(ratings);
		for (const target of [replaced, rollingOut]) {
			for (const name of ['lookup', 'reconcile', 'summary']) {
				tracker.recordOutcome({
					...target, workspace, rule: name, ranAt: 900,
				}, false);
				tracker.recordEscalation({
					...target, workspace, rule: name, ranAt: 900,
				}, false);
			}
		}

		tracker.summarize();
	}

	for (let second = 0; second < 12; second += 1) {
		for (const {tracker} of instances) {
			const summary = tracker.summarize();
			if (summary !== undefined) {
				largest = Math.max(largest, pack(summary).byteLength);
				tracker.applyReply(aggregator.mergeSummary(structuredClone(summary)));
				tracker.applyReply(aggregator.mergeSummary(structuredClone(summary)));
			}
		}
	}

	t.log(`Largest summary ${largest} bytes`);
	t.true(largest < 2000, `The largest summary has ${largest} bytes; expected less than 2000`);
	for (const {tracker} of instances) {
		t.true(Math.abs(tracker.quality(key, {value: 0.85}).weight - 56) < 0.01);
	}

	t.is(alarms.length, 1);
	t.is(aggregator.table.evidence(rollingOut, 0).ratings, 0);
	t.deepEqual(aggregator.table.evidence(rollingOut, 0).alarm, alarms[0]);
	aggregator.prune({...configuration, document: {...configuration.document, models: {}}});
	t.is(aggregator.table.evidence(rollingOut, 0).alarm, undefined);
});

test('evidence on a suspected version is reported immediately, only when it grew, and ahead of earlier changes', t => {
	const {tracker} = createInstance('a');
	for (const target of [replaced, rollingOut]) {
		tracker.recordOutcome({
			...target, workspace, rule: 'lookup', ranAt: 900,
		}, false);
	}

	tracker.recordRatings([createRating('g1', 0.85, replaced), createRating('g2', 0.85)]);
	t.is(tracker.summarizeSuspects(), undefined);
	tracker.recordRatings([createRating('b1', 0.1), createRating('b2', 0.1), createRating('b3', 0.1)]);
	t.like(tracker.summarizeSuspects()?.evidence, {0: {...rollingOut, measure: 'ratings', count: 4}, length: 1});
	t.is(tracker.summarizeSuspects(), undefined);
	tracker.recordRatings([createRating('b4', 0.1)]);
	t.true(tracker.summarize()?.evidence.some(({version, count}) => version === rollingOut.version && count === 5));
	t.is(tracker.summarizeSuspects(), undefined);
});

test('the cache of served requests and the summary queue stay within their capacity', t => {
	const cache = new ServedRequestCache(10);
	const queue = new SummaryQueue<number>({capacity: 10});
	for (let index = 0; index < 100; index += 1) {
		const requestId = toId<RequestId>(`r${index}`);
		cache.add({
			requestId, ...rollingOut, workspace, rule: 'lookup', measure: 'rating', ranAt: index,
		});
		queue.markChanged(`k${index}`, index);
	}

	t.is(cache.markRated(toId<RequestId>('r0')), 'unknown');
	t.like(cache.markRated(toId<RequestId>('r99')), {ranAt: 99});
	t.is(cache.markRated(toId<RequestId>('r99')), 'rated');
	const taken = new Set([...queue.next(6), ...queue.next(6)]);
	t.deepEqual([...taken].toSorted((left, right) => left - right), [90, 91, 92, 93, 94, 95, 96, 97, 98, 99]);
});

test('the schema accepts one rating or a list and rejects anything else', t => {
	const rating = createRating('r1', 0.5);
	t.deepEqual(ratingsSchema.parse(rating), [rating]);
	t.deepEqual(ratingsSchema.parse([rating, rating]), [rating, rating]);
	for (const invalid of [{...rating, rating: 1.1}, {...rating, rating: '1'}, {...rating, other: 1}, [null], 'text']) {
		t.false(ratingsSchema.safeParse(invalid).success);
	}
});
