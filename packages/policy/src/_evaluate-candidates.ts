import {
	costOf, type EscalationConfiguration, type Micros, type ModelRequest, type VersionConfiguration, versionKey,
} from '@valehitch/core';
import {match} from 'ts-pattern';
import {type Candidate} from './choice.js';
import {type ChooseVersionOptions} from './choose-version.js';
import {exposure} from './exposure.js';
import {mayDispatch} from './may-dispatch.js';
import {own} from './_own.js';
import {qualityClass} from './quality-class.js';
import {type QualityKey, type QualityMeasure} from './quality-digest.js';
import {type Estimate, estimate, type Prior} from './quality-estimate.js';
import {type VersionTarget} from './version-target.js';

/** How far a candidate came: the choice takes the best `eligible` one, and in the last resort one that is `below-target` or `stopped-here`. */
export type Standing = 'eligible' | 'below-target' | 'stopped-here' | 'out';

/** A candidate with its standing. */
export type Evaluated = {
	readonly candidate: Candidate;
	readonly standing: Standing;
	readonly verdict: string;
	/** The place in the rule's order, which breaks ties. */
	readonly order: number;
	/** For a version in roll-out: the key of the version that it replaces. */
	readonly replaces?: string;
};

/** The request and what the choice depends on. */
export type Question = {
	readonly request: ModelRequest;
	readonly options: ChooseVersionOptions;
};

const expectedOutputTokens = 200;
const escalationDeviation = 0.4;

/**
Evaluates each version that the workspace may use under the rule.

@param question The request and what the choice depends on.
@returns The versions in the rule's order, each with its standing.
@example
```ts
evaluateVersions({request, options});
```
*/
export function evaluateVersions(question: Question): readonly Evaluated[] {
	const {request, options: {configuration: {document}, rule}} = question;
	const allowed = own(document.workspaces, request.workspace)?.allowed;
	const models = request.namedModel === undefined ? rule.models : [request.namedModel];
	const found: Evaluated[] = [];
	for (const model of models) {
		for (const version of own(allowed, model) ?? []) {
			const details = own(own(document.models, model)?.versions, version);
			if (details !== undefined) {
				found.push(evaluateVersion(question, {
					model, version, details, order: found.length,
				}));
			}
		}
	}

	return found;
}

/**
Pairs versions into cascades: a cheaper one first, and a dearer one that meets the target when the answer shows a sign of the rule.

A streamed request and one of a session get none: bytes that have left cannot be taken back, and a session stays on its version.

@param question The request and what the choice depends on.
@param versions The evaluated versions.
@returns The cascades in the order of their versions.
@example
```ts
evaluateCascades(question, evaluateVersions(question));
```
*/
export function evaluateCascades(question: Question, versions: readonly Evaluated[]): readonly Evaluated[] {
	const {request: {facts, namedModel}, options: {rule: {escalation}}} = question;
	if (escalation === undefined || facts.stream || facts.session || namedModel !== undefined) {
		return [];
	}

	const cascades: Evaluated[] = [];
	for (const first of versions.filter(({standing}) => standing === 'eligible' || standing === 'below-target')) {
		const dearer = versions.filter(({standing, candidate}) => standing === 'eligible' && candidate.expectedCost > first.candidate.expectedCost);
		if (dearer.length === 0) {
			continue;
		}

		const beginning = beginCascade(question, {first: first.candidate, escalation});
		for (const second of dearer) {
			cascades.push(evaluateCascade(beginning, {
				second: second.candidate, qualityTarget: question.options.rule.qualityTarget, order: versions.length + cascades.length,
			}));
		}
	}

	return cascades;
}

type Version = VersionTarget & {
	readonly details: VersionConfiguration;
	readonly order: number;
};

function evaluateVersion(question: Question, version: Version): Evaluated {
	const {request: {facts}, options: {rule, expectedMilliseconds = () => 0}} = question;
	const {details, order, ...target} = version;
	const output = facts.maxTokens > 0 ? Math.min(facts.maxTokens, expectedOutputTokens) : expectedOutputTokens;
	const quality = estimateOf(question, {target, measure: 'rating', listed: details.quality}).lowerBound;
	const candidate: Candidate = {
		kind: 'direct',
		...target,
		quality,
		expectedCost: costOf(details.prices, {input: facts.promptTokens, output}),
		expectedMilliseconds: expectedMilliseconds(target),
	};
	const barrier = findBarrier(question, target);
	const replaces = details.state === 'rolling-out' && details.replaces !== undefined && details.replaces !== target.version
		? {replaces: versionKey(target.model, details.replaces)}
		: {};
	if (barrier !== undefined) {
		return {
			candidate, order, ...barrier, ...replaces,
		};
	}

	const standing = quality < rule.qualityTarget ? 'below-target' : 'eligible';
	return {
		candidate, order, ...replaces, standing, verdict: targetVerdict(quality, rule.qualityTarget),
	};
}

type Barrier = Pick<Evaluated, 'standing' | 'verdict'>;

function findBarrier({request, options}: Question, target: VersionTarget): Barrier | undefined {
	const {
		configuration, isServed, isolated = false, isolatedServe, isStoppedHere, inProgress = () => 0, subject = request.id,
	} = options;
	const check = {
		...target, workspace: request.workspace, isolated, ...(isolatedServe !== undefined && {isolatedServe}),
	};
	const permission = match(mayDispatch(configuration, check))
		.with('allowed', () => undefined)
		.with('not-allowed', () => 'the workspace may not use it')
		.with('version-withdrawn', () => 'withdrawn')
		.with('version-stopped', () => 'stopped, or its roll-out is not running')
		.with('isolated', () => 'this instance is isolated and the version is not settled')
		.exhaustive();
	if (permission !== undefined) {
		return {standing: 'out', verdict: permission};
	}

	if (!isServed(target.model, target.version)) {
		return {standing: 'out', verdict: 'no server has it loaded'};
	}

	const isRollingOut = own(own(configuration.document.models, target.model)?.versions, target.version)?.state === 'rolling-out'
		&& own(configuration.rollouts, versionKey(target.model, target.version))?.status !== 'completed';
	if (isStoppedHere?.(target) === true) {
		return {standing: isRollingOut ? 'out' : 'stopped-here', verdict: 'stopped by this instance as bad'};
	}

	return isRollingOut
		? exposureBarrier(exposure(configuration, {...target, subject, inProgress: inProgress(target)}))
		: undefined;
}

function exposureBarrier(verdict: ReturnType<typeof exposure>): Barrier | undefined {
	return match(verdict)
		.with('exposed', () => undefined)
		.with('not-running', () => ({standing: 'out' as const, verdict: 'its roll-out is not running'}))
		.with('outside-share', () => ({standing: 'out' as const, verdict: 'outside the share of its roll-out'}))
		.with('at-limit', () => ({standing: 'out' as const, verdict: 'its roll-out has as many requests in progress as the stage allows'}))
		.exhaustive();
}

type Beginning = {
	readonly first: Candidate;
	/** The lower bound of the quality of answers that show no sign. */
	readonly accepted: number;
	readonly escalationShare: Estimate;
};

function beginCascade(question: Question, {first, escalation}: {readonly first: Candidate; readonly escalation: EscalationConfiguration}): Beginning {
	const target = {model: first.model, version: first.version};
	return {
		first,
		accepted: estimateOf(question, {target, measure: 'accepted-rating', listed: escalation.acceptedQuality}).lowerBound,
		escalationShare: estimateOf(question, {target, measure: 'escalation', listed: escalation.expectedShare}),
	};
}

type Ending = {
	readonly second: Candidate;
	readonly qualityTarget: number;
	readonly order: number;
};

function evaluateCascade({first, accepted, escalationShare: {mean, lowerBound, upperBound}}: Beginning, {second, qualityTarget, order}: Ending): Evaluated {
	const worstShare = second.quality > accepted ? lowerBound : upperBound;
	const quality = ((1 - worstShare) * accepted) + (worstShare * second.quality);
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
		candidate, order, standing: quality < qualityTarget ? 'below-target' : 'eligible', verdict: targetVerdict(quality, qualityTarget),
	};
}

type Wanted = {
	readonly target: VersionTarget;
	readonly measure: QualityMeasure;
	readonly listed: number;
};

function estimateOf({request, options}: Question, {target, measure, listed}: Wanted): Estimate {
	const {rule, quality = listedQuality} = options;
	const prior = measure === 'escalation' ? {value: listed, deviation: escalationDeviation} : {value: listed};
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
