import {
	type EffectiveConfiguration, type Failure, failure, type ModelId, type ModelRequest, type PolicyRule, type VersionId, versionKey,
} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import {type Candidate, type VersionChoice, type ConsideredCandidate} from './version-choice.js';
import {evaluateCascades, type EvaluatedCandidate, evaluateVersions} from './_evaluate-candidates.js';
import {type QualityKey} from './quality-digest.js';
import {type Estimate, type Prior} from './quality-estimate.js';
import {type VersionTarget} from './version-target.js';

/** Everything besides the request that determines the choice. */
export type ChooseVersionOptions = {
	readonly configuration: EffectiveConfiguration;
	/** The policy rule that applies to the request. */
	readonly rule: PolicyRule;
	/** Checks whether any server that accepts work has the version loaded. */
	readonly isServed: (model: ModelId, version: VersionId) => boolean;
	/** Estimates a quality or share. Defaults to the listed value. */
	readonly quality?: (key: QualityKey, prior: Prior) => Estimate;
	/** The expected time of a version to the complete answer, in milliseconds. Defaults to 0. */
	readonly expectedMilliseconds?: (target: VersionTarget) => number;
	/** The number of requests that this instance has in progress on a version. Defaults to 0. */
	readonly inProgress?: (target: VersionTarget) => number;
	/** Checks whether this instance has stopped a version as bad. By default no version is stopped. */
	readonly isStoppedLocally?: (target: VersionTarget) => boolean;
	/** Whether the configuration lease of this instance has expired. Defaults to false. */
	readonly isolated?: boolean;
	/** Which versions an isolated instance may use. Defaults to `settled`. */
	readonly isolatedServe?: 'settled' | 'all' | 'none';
	/** The key that assigns the request to a rollout share: the session's, if any. Defaults to the request id. */
	readonly bucketingKey?: string;
	/** The relative extra cost within which a rule that prefers latency takes a faster candidate. Defaults to 0.1. */
	readonly latencyCostTolerance?: number;
};

const defaultLatencyCostTolerance = 0.1;
const retryAfterMilliseconds = 1000;

/**
Chooses how to serve a request: the candidate with the lowest expected cost whose lower confidence bound of quality meets the target, either a single version or a cascade.

Ties are broken by the order in the rule. A rule that prefers latency takes the fastest candidate among those whose cost is nearly equal to the lowest.

@param request The request.
@param options The configuration in force, the rule of the request, and the state of the versions.
@returns The choice, or the failure for the caller: `forbidden` if no version is available to the workspace, `no-server` otherwise.
@example
```ts
chooseVersion(request, {configuration, rule, isServed: () => true});
```
*/
export function chooseVersion(request: ModelRequest, options: ChooseVersionOptions): Either<Failure, VersionChoice> {
	const context = {request, options};
	const versions = excludeReplaced(evaluateVersions(context));
	const evaluated = [...versions, ...evaluateCascades(context, versions)];
	const eligible = evaluated.filter(({status}) => status === 'eligible');
	const best = cheapest(eligible, options);
	if (best !== undefined) {
		return Right({chosen: best.candidate, belowTarget: false, considered: describeCandidates(evaluated, best)});
	}

	const fallback = options.rule.whenBelowTarget === 'refuse' ? undefined : bestFallback(versions);
	return fallback === undefined
		? Left(noVersionFailure(request, evaluated))
		: Right({chosen: fallback.candidate, belowTarget: true, considered: describeCandidates(evaluated, fallback)});
}

/** Excludes versions that an eligible version in rollout replaces for this request. */
function excludeReplaced(versions: readonly EvaluatedCandidate[]): readonly EvaluatedCandidate[] {
	const replaced = new Set<string>();
	for (const {status, replaces} of versions) {
		if (status === 'eligible' && replaces !== undefined) {
			replaced.add(replaces);
		}
	}

	return versions.map(candidate => candidate.status === 'eligible' && replaced.has(candidateKey(candidate))
		? {...candidate, status: 'excluded', verdict: 'gives way to the version in roll-out that replaces it'}
		: candidate);
}

function candidateKey({candidate: {model, version}}: EvaluatedCandidate): string {
	return versionKey(model, version);
}

function cheapest(eligible: readonly EvaluatedCandidate[], {rule, latencyCostTolerance = defaultLatencyCostTolerance}: ChooseVersionOptions): EvaluatedCandidate | undefined {
	const [best] = eligible.toSorted((left, right) => left.candidate.expectedCost - right.candidate.expectedCost || left.order - right.order);
	if (best === undefined || rule.prefers !== 'latency') {
		return best;
	}

	const limit = best.candidate.expectedCost * (1 + latencyCostTolerance);
	const [fastest] = eligible
		.filter(({candidate}) => candidate.expectedCost <= limit)
		.toSorted((left, right) => left.candidate.expectedMilliseconds - right.candidate.expectedMilliseconds
			|| left.candidate.expectedCost - right.candidate.expectedCost
			|| left.order - right.order);
	return fastest;
}

/** Returns the best version below the target. Versions that only this instance has stopped come last. */
function bestFallback(versions: readonly EvaluatedCandidate[]): EvaluatedCandidate | undefined {
	const [best] = versions
		.filter(({status}) => status === 'below-target' || status === 'stopped-locally')
		.toSorted((left, right) => Number(left.status === 'stopped-locally') - Number(right.status === 'stopped-locally')
			|| right.candidate.quality - left.candidate.quality
			|| left.candidate.expectedCost - right.candidate.expectedCost
			|| left.order - right.order);
	return best;
}

function describeCandidates(evaluated: readonly EvaluatedCandidate[], chosen: EvaluatedCandidate): readonly ConsideredCandidate[] {
	return evaluated.map(evaluatedCandidate => ({...evaluatedCandidate.candidate, verdict: describeVerdict(evaluatedCandidate, chosen)}));
}

function describeVerdict(evaluated: EvaluatedCandidate, chosen: EvaluatedCandidate): string {
	if (evaluated === chosen) {
		return evaluated.status === 'eligible' ? 'chosen' : `chosen as the best there is: ${evaluated.verdict}`;
	}

	return evaluated.status === 'eligible' ? describeRejection(evaluated.candidate, chosen.candidate) : evaluated.verdict;
}

function describeRejection(rejected: Candidate, chosen: Candidate): string {
	const expected = `expected cost ${rejected.expectedCost} against ${chosen.expectedCost} millionths`;
	if (rejected.expectedCost > chosen.expectedCost) {
		return `dearer: ${expected}`;
	}

	return rejected.expectedCost === chosen.expectedCost && rejected.expectedMilliseconds <= chosen.expectedMilliseconds
		? `as good, later in the rule's order: ${expected}`
		: `slower at nearly equal cost: ${rejected.expectedMilliseconds} against ${chosen.expectedMilliseconds} ms`;
}

function noVersionFailure(request: ModelRequest, evaluated: readonly EvaluatedCandidate[]): Failure {
	if (evaluated.length === 0) {
		return failure('forbidden', `Workspace ${request.workspace} may not use any version of model ${request.facts.model}`);
	}

	const reasons = evaluated.map(({candidate, verdict}) => `${describeCandidate(candidate)}: ${verdict}`);
	return failure('no-server', `No version can serve the request (${reasons.join('; ')})`, {retryAfterMilliseconds});
}

function describeCandidate(candidate: Candidate): string {
	return candidate.kind === 'direct'
		? `${candidate.model} ${candidate.version}`
		: `${candidate.model} ${candidate.version}, then ${candidate.escalatesTo.model} ${candidate.escalatesTo.version}`;
}
