import test from 'ava';
import {
	type EffectiveConfiguration, type ModelId, type RolloutProgress, toId, toRevision, type VersionConfiguration, type VersionId, versionKey,
} from '@valehitch/core';
import {nextRolloutStep, rolloutCommands} from './rollout-step.js';

const model = toId<ModelId>('tag-small');
const [first, second] = [toId<VersionId>('1'), toId<VersionId>('2')];
const stages = [{share: 0.1, minimumRatings: 20, minimumSeconds: 60}, {share: 1, minimumRatings: 0, minimumSeconds: 0}];
const progress: RolloutProgress = {
	model, version: second, stage: 0, status: 'running', stageStartedAt: 1000,
};
const alarm = {reason: 'bad ratings'};
const settled: VersionConfiguration = {state: 'settled', quality: 0.8, prices: {input: 1, output: 1}};

function effectiveOf(versions: Readonly<Record<string, VersionConfiguration>>, rollout?: RolloutProgress): EffectiveConfiguration {
	return {
		revision: toRevision(1), document: {models: {[model]: {versions}}, services: {}, workspaces: {}}, rollouts: rollout ? {[versionKey(model, rollout.version)]: rollout} : {},
	};
}

test('a stage advances only after its minimum time and number of ratings', t => {
	const step = (now: number, ratings: number) => nextRolloutStep({
		progress, stages, evidence: {ratings}, now,
	});
	t.deepEqual(step(60_999, 500), {type: 'wait', unmetCondition: '1 seconds'});
	t.deepEqual(step(61_000, 19), {type: 'wait', unmetCondition: '1 ratings'});
	t.deepEqual(step(61_000, 20), {
		type: 'advance-rollout', model, version: second, fromStage: 0, at: 61_000,
	});
	t.is(nextRolloutStep({
		progress: {...progress, status: 'stopped'}, stages, evidence: {ratings: 500}, now: 61_000,
	}).type, 'wait');
});

test('a bad version in rollout is stopped at once, a settled one only if another version is settled', t => {
	const evidence = () => ({ratings: 0, alarm});
	const rolling = effectiveOf({[second]: {...settled, state: 'rolling-out', stages}}, progress);
	t.deepEqual(rolloutCommands(rolling, {evidence, now: 5}), [{
		type: 'stop-version', model, version: second, reason: 'bad ratings', at: 5,
	}]);
	t.deepEqual(rolloutCommands(effectiveOf({[first]: settled}), {evidence, now: 5}), []);
	const two = effectiveOf({[first]: settled, [second]: settled}, {...progress, version: first, status: 'stopped'});
	t.deepEqual(rolloutCommands(two, {evidence, now: 5}), []);
	const evidenceOnSecond = ({version}: {readonly version: VersionId}) => version === second ? evidence() : {ratings: 0};
	t.is(rolloutCommands(effectiveOf({[first]: settled, [second]: settled}), {evidence: evidenceOnSecond, now: 5}).length, 1);
});
