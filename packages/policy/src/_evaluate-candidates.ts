import {
	calculateCost, type EscalationConfiguration, type Micros, type ModelRequest, type VersionConfiguration, versionKey,
} from '@valehitch/core';
import {match} from 'ts-pattern';
import {type Candidate} from './version-choice.js';
import {type ChooseVersionOptions} from './choose-version.js';
import {decideExposure} from './exposure.js';
import {checkDispatch} from './check-dispatch.js';
import {ownProperty} from './_own-property.js';
import {qualityClass} from './quality-class.js';
import {type QualityKey, type QualityMeasure} from './quality-digest.js';
import {type Estimate, estimate, type Prior} from './quality-estimate.js';
import {type VersionTarget} from './version-target.js';

/** The result of evaluating a candidate. The best `eligible` candidate is chosen, or else the best that is `below-target` or `stopped-locally`. */
export type CandidateStatus = 'eligible' | 'below-target' | 'stopped-locally' | 'excluded';

/** A candidate and its status. */
export type EvaluatedCandidate = {
	readonly candidate: Candidate;
	readonly status: CandidateStatus;
	readonly verdict: string;
	/** The position in the rule, which breaks ties. */
	readonly order: number;
	/** For a version in rollout, the key of the version that it replaces. */
	readonly replaces?: string;
};

/** The request and the inputs of the choice. */
export type EvaluationContext = {
	readonly request: ModelRequest;
	readonly options: ChooseVersionOptions;
};

const expectedOutputTokens = 200;
const escalationStandardDeviation = 0.4;

/**
Evaluates each version that the workspace may use under the rule.

@param context The request and the inputs of the choice.
@returns The evaluated versions in the order of the rule.
@example
```ts
evaluateVersions({request, options});
```
*/
export function evaluateVersions(context: EvaluationContext): readonly EvaluatedCandidate[] {
	const {request, options: {configuration: {document}, rule}} = context;
	const allowed = ownProperty(document.workspaces, request.workspace)?.allowed;
	const models = request.namedModel === undefined ? rule.models : [request.namedModel];
	const evaluated: EvaluatedCandidate[] = [];
	for (const model of models) {
		for (const version of ownProperty(allowed, model) ?? []) {
			const details = ownProperty(ownProperty(document.models, model)?.versions, version);
			if (details !== undefined) {
				evaluated.push(evaluateVersion(context, {
					model, version, details, order: evaluated.length,
				}));
			}
		}
	}

	return evaluated;
}

/**
Pairs versions into cascades: a cheaper version answers first, and a more expensive one that meets the target takes over if the answer shows an escalation sign.

Streamed requests and requests of a session get no cascades: bytes already sent cannot be retracted, and a session stays on its version.

@param context The request and the inputs of the choice.
@param versions The evaluated versions.
@returns The cascades in the order of their versions.
@example
```ts
evaluateCascades(context, evaluateVersions(context));
```
*/
export function evaluateCascades(context: EvaluationContext, versions: readonly EvaluatedCandidate[]): readonly EvaluatedCandidate[] {
	const {request: {facts, namedModel}, options: {rule: {escalation}}} = context;
	if (escalation === undefined || facts.stream || facts.session || namedModel !== undefined) {
		return [];
	}

	const cascades: EvaluatedCandidate[] = [];
	for (const first of versions.filter(({status}) => status === 'eligible' || status === 'below-target')) {
		const costlier = versions.filter(({status, candidate}) => status === 'eligible' && candidate.expectedCost > first.candidate.expectedCost);
		if (costlier.length === 0) {
			continue;
		}

		const firstStage = estimateFirstStage(context, {first: first.candidate, escalation});
		for (const second of costlier) {
			cascades.push(evaluateCascade(firstStage, {
				second: second.candidate, qualityTarget: context.options.rule.qualityTarget, order: versions.length + cascades.length,
			}));
		}
	}

	return cascades;
}

type ConfiguredVersion = VersionTarget & {
	readonly details: VersionConfiguration;
	readonly order: number;
};

function evaluateVersion(context: EvaluationContext, version: ConfiguredVersion): EvaluatedCandidate {
	const {request: {facts}, options: {rule, expectedMilliseconds = () => 0}} = context;
	const {details, order, ...target} = version;
	const output = facts.maxTokens > 0 ? Math.min(facts.maxTokens, expectedOutputTokens) : expectedOutputTokens;
	const quality = estimateMeasure(context, {target, measure: 'rating', listed: details.quality}).lowerBound;
	const candidate: Candidate = {
		kind: 'direct',
		...target,
		quality,
		expectedCost: calculateCost(details.prices, {input: facts.promptTokens, output}),
		expectedMilliseconds: expectedMilliseconds(target),
	};
	const exclusion = findExclusion(context, target);
	const replaces = details.state === 'rolling-out' && details.replaces !== undefined && details.replaces !== target.version
		? {replaces: versionKey(target.model, details.replaces)}
		: {};
	if (exclusion !== undefined) {
		return {
			candidate, order, ...exclusion, ...replaces,
		};
	}

	const status = quality < rule.qualityTarget ? 'below-target' : 'eligible';
	return {
		candidate, order, ...replaces, status, verdict: targetVerdict(quality, rule.qualityTarget),
	};
}

type Exclusion = Pick<EvaluatedCandidate, 'status' | 'verdict'>;

function findExclusion({request, options}: EvaluationContext, target: VersionTarget): Exclusion | undefined {
	const {
		configuration, isServed, isolated = false, isolatedServe, isStoppedLocally, inProgress = () => 0, bucketingKey = request.id,
	} = options;
	const check = {
		...target, workspace: request.workspace, isolated, ...(isolatedServe !== undefined && {isolatedServe}),
	};
	const denial = match(checkDispatch(configuration, check))
		.with('allowed', () => undefined)
		.with('not-allowed', () => 'the workspace may not use it')
		.with('version-withdrawn', () => 'withdrawn')
		.with('version-stopped', () => 'stopped, or its roll-out is not running')
		.with('isolated', () => 'this instance is isolated and the version is not settled')
		.exhaustive();
	if (denial !== undefined) {
		return {status: 'excluded', verdict: denial};
	}

	if (!isServed(target.model, target.version)) {
		return {status: 'excluded', verdict: 'no server has it loaded'};
	}

	const isRollingOut = ownProperty(ownProperty(configuration.document.models, target.model)?.versions, target.version)?.state === 'rolling-out'
		&& ownProperty(configuration.rollouts, versionKey(target.model, target.version))?.status !== 'completed';
	if (isStoppedLocally?.(target) === true) {
		return {status: isRollingOut ? 'excluded' : 'stopped-locally', verdict: 'stopped by this instance as bad'};
	}

	return isRollingOut
		? exposureExclusion(decideExposure(configuration, {...target, bucketingKey, inProgress: inProgress(target)}))
		: undefined;
}

function exposureExclusion(verdict: ReturnType<typeof decideExposure>): Exclusion | undefined {
	return match(verdict)
		.with('exposed', () => undefined)
		.with('not-running', () => ({status: 'excluded' as const, verdict: 'its roll-out is not running'}))
		.with('outside-share', () => ({status: 'excluded' as const, verdict: 'outside the share of its roll-out'}))
		.with('at-limit', () => ({status: 'excluded' as const, verdict: 'its roll-out has as many requests in progress as the stage allows'}))
		.exhaustive();
}

type CascadeFirstStage = {
	readonly first: Candidate;
	/** The lower confidence bound of the quality of accepted answers. */
	readonly acceptedQuality: number;
	readonly escalationShare: Estimate;
};

function estimateFirstStage(context: EvaluationContext, {first, escalation}: {readonly first: Candidate; readonly escalation: EscalationConfiguration}): CascadeFirstStage {
	const target = {model: first.model, version: first.version};
	return {
		first,
		acceptedQuality: estimateMeasure(context, {target, measure: 'accepted-rating', listed: escalation.acceptedQuality}).lowerBound,
		escalationShare: estimateMeasure(context, {target, measure: 'escalation', listed: escalation.expectedShare}),
	};
}

type CascadeSecondStage = {
	readonly second: Candidate;
	readonly qualityTarget: number;
	readonly order: number;
};

function evaluateCascade(firstStage: CascadeFirstStage, {second, qualityTarget, order}: CascadeSecondStage): EvaluatedCandidate {
	const {first, acceptedQuality, escalationShare: {mean, lowerBound, upperBound}} = firstStage;
	const worstShare = second.quality > acceptedQuality ? lowerBound : upperBound;
	const quality = ((1 - worstShare) * acceptedQuality) + (worstShare * second.quality);
	const candidate: Candidate = {
		...first,
		kind: 'cascade',
		escalatesTo: {model: second.model, version: second.version},
		escalationShare: mean,
		quality,
		expectedCost: Math.ceil(first.expectedCost + (mean * second.expectedCost)) as Micros,
		expectedMilliseconds: first.expectedMilliseconds + (mean * second.expectedMilliseconds),
	};
	return {
		candidate, order, status: quality < qualityTarget ? 'below-target' : 'eligible', verdict: targetVerdict(quality, qualityTarget),
	};
}

type EstimateRequest = {
	readonly target: VersionTarget;
	readonly measure: QualityMeasure;
	readonly listed: number;
};

function estimateMeasure({request, options}: EvaluationContext, {target, measure, listed}: EstimateRequest): Estimate {
	const {rule, quality = listedQuality} = options;
	const prior = measure === 'escalation' ? {value: listed, deviation: escalationStandardDeviation} : {value: listed};
	return quality({...target, qualityClass: qualityClass(request.workspace, rule.name), measure}, prior);
}

function listedQuality(_key: QualityKey, prior: Prior): Estimate {
	return estimate(undefined, prior);
}

function targetVerdict(quality: number, target: number): string {
	return quality < target
		? `quality ${quality.toFixed(3)} is below the target ${target}`
		: 'eligible';
}
