import test from 'ava';
import {
	type EffectiveConfiguration, type InstanceId, type ModelId, type RequestId, toId, toRevision, type VersionConfiguration, type VersionId, versionKey, type WorkspaceId,
} from '@valehitch/core';
import {type BadVersionAlarm} from '@valehitch/policy';
import {pack} from 'msgpackr';
import {EvidenceKeeper} from './evidence-keeper.js';
import {type Rating, ratingsSchema} from './rating.js';
import {RatingsPart} from './ratings-part.js';
import {RequestMemory} from './request-memory.js';
import {SummaryQueue} from './summary-queue.js';

const workspace = toId<WorkspaceId>('yard');
const replaced = {model: toId<ModelId>('m'), version: toId<VersionId>('1')};
const fresh = {model: toId<ModelId>('m'), version: toId<VersionId>('2')};
const listed = {state: 'settled', quality: 0.85, prices: {input: 1, output: 1}} as const;
const versions: Record<string, VersionConfiguration> = {
	1: listed, 2: {
		...listed, state: 'rolling-out', replaces: replaced.version, stages: [{share: 0.1, minimumRatings: 0, minimumSeconds: 0}],
	},
};
const rule = {
	name: 'lookup', models: [fresh.model], qualityTarget: 0.8, deadlineMilliseconds: 1000, priority: 5,
};
const configuration: EffectiveConfiguration = {
	revision: toRevision(1),
	document: {
		models: {[fresh.model]: {versions}},
		services: {},
		workspaces: {
			[workspace]: {
				keyDigests: [], weight: 1, allowed: {[fresh.model]: [replaced.version, fresh.version]}, services: [], policy: [rule],
			},
		},
	},
	rollouts: {
		[versionKey(fresh.model, fresh.version)]: {
			...fresh, stage: 0, status: 'running', stageStartedAt: 0,
		},
	},
};

type Ratings = {
	readonly part: RatingsPart;
	readonly alarms: BadVersionAlarm[];
};

function ratingsOf(name: string): Ratings {
	const alarms: BadVersionAlarm[] = [];
	const part = new RatingsPart({
		instance: toId<InstanceId>(name),
		startedAt: 1,
		now: () => 1000,
		configuration: () => configuration,
		onAlarm(alarm) {
			alarms.push(alarm);
		},
		remembered: 100,
	});
	return {part, alarms};
}

function ratingOf(id: string, value: number, changes: Partial<Rating> = {}): Rating {
	return {
		requestId: toId<RequestId>(id), ...fresh, workspace, class: 'lookup', rating: value, ratedAt: 900, ...changes,
	};
}

const key = {...fresh, qualityClass: 'yard/lookup', measure: 'rating'} as const;

test('a rating counts once, for the version that really served, and unknown ids are counted and passed over', t => {
	const {part} = ratingsOf('a');
	part.remember({
		requestId: toId<RequestId>('r1'), ...replaced, workspace, rule: 'lookup', measure: 'rating', ranAt: 500,
	});
	t.deepEqual(part.take([ratingOf('r1', 0.1)]), {accepted: 1, doubled: 0, unknown: 0});
	t.is(part.quality(key, {value: 0.85}).weight, 0);
	t.true(part.quality({...key, ...replaced}, {value: 0.85}).weight > 0.99);
	t.deepEqual(part.take([ratingOf('r1', 0.1), ratingOf('r2', 0.1), ratingOf('r2', 0.9)]), {accepted: 1, doubled: 2, unknown: 0});
	const strangers = [
		ratingOf('r3', 1, {model: toId<ModelId>('constructor')}),
		ratingOf('r4', 1, {version: toId<VersionId>('9')}),
		ratingOf('r5', 1, {workspace: toId<WorkspaceId>('nobody')}),
	];
	t.deepEqual(part.take(strangers), {accepted: 0, doubled: 0, unknown: 3});
	t.deepEqual(part.take([ratingOf('r6', 1, {class: 'invented'})]), {accepted: 1, doubled: 0, unknown: 0});
	t.true(part.quality(key, {value: 0.85}).weight < 1.01);
});

test('a version that fails is stopped here at once, and the stop is told once', t => {
	const {part, alarms} = ratingsOf('a');
	const event = {workspace, rule: 'lookup', ranAt: 900};
	for (let index = 0; index < 100; index += 1) {
		part.noteOutcome({...event, ...replaced}, false);
	}

	t.false(part.isStoppedHere(fresh));
	for (let index = 0; index < 60; index += 1) {
		part.noteOutcome({...event, ...fresh}, index % 2 === 0);
	}

	t.true(part.isStoppedHere(fresh));
	t.false(part.isStoppedHere(replaced));
	t.is(alarms.length, 1);
	t.like(alarms[0], {...fresh, measure: 'failures'});
});

test('summaries are small, heal what was lost, and give every instance the sums of all', t => {
	const alarms: BadVersionAlarm[] = [];
	const keeper = new EvidenceKeeper({
		instance: toId<InstanceId>('a'),
		startedAt: 1,
		now: () => 1000,
		onAlarm(alarm) {
			alarms.push(alarm);
		},
	});
	const instances = ['a', 'b', 'c', 'd', 'e', 'f', 'g'].map(name => ratingsOf(name));
	let largest = 0;
	for (const [round, {part}] of instances.entries()) {
		const ratings = Array.from({length: 8}, (_, index) => ratingOf(`r${round}-${index}`, 0.2));
		part.take(ratings);
		for (const target of [replaced, fresh]) {
			for (const name of ['lookup', 'reconcile', 'summary']) {
				part.noteOutcome({
					...target, workspace, rule: name, ranAt: 900,
				}, false);
				part.noteEscalation({
					...target, workspace, rule: name, ranAt: 900,
				}, false);
			}
		}

		part.summarize();
	}

	for (let second = 0; second < 12; second += 1) {
		for (const {part} of instances) {
			const summary = part.summarize();
			if (summary !== undefined) {
				largest = Math.max(largest, pack(summary).byteLength);
				part.takeReply(keeper.take(structuredClone(summary)));
				part.takeReply(keeper.take(structuredClone(summary)));
			}
		}
	}

	t.log(`Largest summary ${largest} bytes`);
	t.true(largest < 2000, `Got a summary of ${largest} bytes`);
	for (const {part} of instances) {
		t.true(Math.abs(part.quality(key, {value: 0.85}).weight - 56) < 0.01);
	}

	t.is(alarms.length, 1);
	t.is(keeper.table.evidence(fresh, 0).ratings, 0);
	t.deepEqual(keeper.table.evidence(fresh, 0).alarm, alarms[0]);
	keeper.tidy({...configuration, document: {...configuration.document, models: {}}});
	t.is(keeper.table.evidence(fresh, 0).alarm, undefined);
});

test('what looks bad is reported at once and only when there is more of it, ahead of all that changed before', t => {
	const {part} = ratingsOf('a');
	for (const target of [replaced, fresh]) {
		part.noteOutcome({
			...target, workspace, rule: 'lookup', ranAt: 900,
		}, false);
	}

	part.take([ratingOf('g1', 0.85, replaced), ratingOf('g2', 0.85)]);
	t.is(part.summarizeSuspects(), undefined);
	part.take([ratingOf('b1', 0.1), ratingOf('b2', 0.1), ratingOf('b3', 0.1)]);
	t.like(part.summarizeSuspects()?.evidence, {0: {...fresh, measure: 'ratings', count: 4}, length: 1});
	t.is(part.summarizeSuspects(), undefined);
	part.take([ratingOf('b4', 0.1)]);
	t.true(part.summarize()?.evidence.some(({version, count}) => version === fresh.version && count === 5));
	t.is(part.summarizeSuspects(), undefined);
});

test('the memory of requests and the queue of changes stay within their bounds', t => {
	const memory = new RequestMemory(10);
	const queue = new SummaryQueue<number>({capacity: 10});
	for (let index = 0; index < 100; index += 1) {
		const requestId = toId<RequestId>(`r${index}`);
		memory.remember({
			requestId, ...fresh, workspace, rule: 'lookup', measure: 'rating', ranAt: index,
		});
		queue.touch(`k${index}`, index);
	}

	t.is(memory.recall(toId<RequestId>('r0')), 'unknown');
	t.like(memory.recall(toId<RequestId>('r99')), {ranAt: 99});
	t.is(memory.recall(toId<RequestId>('r99')), 'rated');
	const taken = new Set([...queue.take(6), ...queue.take(6)]);
	t.deepEqual([...taken].toSorted((left, right) => left - right), [90, 91, 92, 93, 94, 95, 96, 97, 98, 99]);
});

test('a post is one rating or a list, and anything else is refused', t => {
	const rating = ratingOf('r1', 0.5);
	t.deepEqual(ratingsSchema.parse(rating), [rating]);
	t.deepEqual(ratingsSchema.parse([rating, rating]), [rating, rating]);
	for (const wrong of [{...rating, rating: 1.1}, {...rating, rating: '1'}, {...rating, other: 1}, [null], 'text']) {
		t.false(ratingsSchema.safeParse(wrong).success);
	}
});
