import {
	type EffectiveConfiguration, type Failure, failure, type ModelId, type ModelRequest, type PolicyRule, type VersionId, versionKey,
} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import {type Candidate, type Choice, type Consideration} from './choice.js';
import {evaluateCascades, type Evaluated, evaluateVersions} from './_evaluate-candidates.js';
import {type QualityKey} from './quality-digest.js';
import {type Estimate, type Prior} from './quality-estimate.js';
import {type VersionTarget} from './version-target.js';

/** What the choice depends on besides the request. */
export type ChooseVersionOptions = {
	readonly configuration: EffectiveConfiguration;
	/** The rule of the request. */
	readonly rule: PolicyRule;
	/** Whether some server has the version loaded and takes work. */
	readonly isServed: (model: ModelId, version: VersionId) => boolean;
	/** Estimates a quality or share; the listed value unless given. */
	readonly quality?: (key: QualityKey, prior: Prior) => Estimate;
	/** Expected milliseconds to the whole answer of a version; 0 unless given. */
	readonly expectedMilliseconds?: (target: VersionTarget) => number;
	/** Requests that this instance has in progress on a version; 0 unless given. */
	readonly inProgress?: (target: VersionTarget) => number;
	/** Whether this instance has stopped a version as bad; never unless given. */
	readonly isStoppedHere?: (target: VersionTarget) => boolean;
	/** Whether the configuration lease of this instance has run out; false unless given. */
	readonly isolated?: boolean;
	/** What an isolated instance may use; `settled` unless given. */
	readonly isolatedServe?: 'settled' | 'all' | 'none';
	/** The name that decides on the share of a roll-out: the session's where there is one; the request's id unless given. */
	readonly subject?: string;
	/** The share of extra cost within which a rule that prefers latency takes the faster; 0.1 unless given. */
	readonly nearlyEqualCost?: number;
};

const defaultNearlyEqualCost = 0.1;
const retryAfterMilliseconds = 1000;

/**
Chooses how to serve a request: the least expected cost whose lower confidence bound of quality meets the target, directly or as a cascade.

Ties go to the rule's order. A rule that prefers latency takes the fastest among those whose cost is nearly equal to the least.

@param request The request.
@param options The configuration in force, the rule of the request, and what is known of the versions.
@returns The choice, or the failure that the caller is told: `forbidden` where the workspace has no version, `no-server` otherwise.
@example
```ts
chooseVersion(request, {configuration, rule, isServed: () => true});
```
*/
export function chooseVersion(request: ModelRequest, options: ChooseVersionOptions): Either<Failure, Choice> {
	const question = {request, options};
	const versions = giveWay(evaluateVersions(question));
	const evaluated = [...versions, ...evaluateCascades(question, versions)];
	const eligible = evaluated.filter(({standing}) => standing === 'eligible');
	const best = cheapest(eligible, options);
	if (best !== undefined) {
		return Right({chosen: best.candidate, belowTarget: false, considered: considerations(evaluated, best)});
	}

	const fallback = options.rule.whenBelowTarget === 'refuse' ? undefined : lastResort(versions);
	return fallback === undefined
		? Left(noVersion(request, evaluated))
		: Right({chosen: fallback.candidate, belowTarget: true, considered: considerations(evaluated, fallback)});
}

/** Within the share of a roll-out the new version takes the place of the one that it replaces. */
function giveWay(versions: readonly Evaluated[]): readonly Evaluated[] {
	const replaced = new Set<string>();
	for (const {standing, replaces} of versions) {
		if (standing === 'eligible' && replaces !== undefined) {
			replaced.add(replaces);
		}
	}

	return versions.map(found => found.standing === 'eligible' && replaced.has(keyOf(found))
		? {...found, standing: 'out', verdict: 'gives way to the version in roll-out that replaces it'}
		: found);
}

function keyOf({candidate: {model, version}}: Evaluated): string {
	return versionKey(model, version);
}

function cheapest(eligible: readonly Evaluated[], {rule, nearlyEqualCost = defaultNearlyEqualCost}: ChooseVersionOptions): Evaluated | undefined {
	const [best] = eligible.toSorted((left, right) => left.candidate.expectedCost - right.candidate.expectedCost || left.order - right.order);
	if (best === undefined || rule.prefers !== 'latency') {
		return best;
	}

	const limit = best.candidate.expectedCost * (1 + nearlyEqualCost);
	const [fastest] = eligible
		.filter(({candidate}) => candidate.expectedCost <= limit)
		.toSorted((left, right) => left.candidate.expectedMilliseconds - right.candidate.expectedMilliseconds
			|| left.candidate.expectedCost - right.candidate.expectedCost
			|| left.order - right.order);
	return fastest;
}

/** The best version below the target; one that only this instance stopped comes after all others. */
function lastResort(versions: readonly Evaluated[]): Evaluated | undefined {
	const [best] = versions
		.filter(({standing}) => standing === 'below-target' || standing === 'stopped-here')
		.toSorted((left, right) => Number(left.standing === 'stopped-here') - Number(right.standing === 'stopped-here')
			|| right.candidate.quality - left.candidate.quality
			|| left.candidate.expectedCost - right.candidate.expectedCost
			|| left.order - right.order);
	return best;
}

function considerations(evaluated: readonly Evaluated[], chosen: Evaluated): readonly Consideration[] {
	return evaluated.map(found => ({...found.candidate, verdict: verdictOf(found, chosen)}));
}

function verdictOf(found: Evaluated, chosen: Evaluated): string {
	if (found === chosen) {
		return found.standing === 'eligible' ? 'chosen' : `chosen as the best there is: ${found.verdict}`;
	}

	return found.standing === 'eligible' ? lossOf(found.candidate, chosen.candidate) : found.verdict;
}

function lossOf(lost: Candidate, won: Candidate): string {
	const expected = `expected cost ${lost.expectedCost} against ${won.expectedCost} millionths`;
	if (lost.expectedCost > won.expectedCost) {
		return `dearer: ${expected}`;
	}

	return lost.expectedCost === won.expectedCost && lost.expectedMilliseconds <= won.expectedMilliseconds
		? `as good, later in the rule's order: ${expected}`
		: `slower at nearly equal cost: ${lost.expectedMilliseconds} against ${won.expectedMilliseconds} ms`;
}

function noVersion(request: ModelRequest, evaluated: readonly Evaluated[]): Failure {
	if (evaluated.length === 0) {
		return failure('forbidden', `Got model ${request.facts.model}, wanted one that workspace ${request.workspace} may use`);
	}

	const reasons = evaluated.map(({candidate, verdict}) => `${nameOf(candidate)}: ${verdict}`);
	return failure('no-server', `Got no version that can serve the request (${reasons.join('; ')})`, {retryAfterMilliseconds});
}

function nameOf(candidate: Candidate): string {
	return candidate.kind === 'direct'
		? `${candidate.model} ${candidate.version}`
		: `${candidate.model} ${candidate.version}, then ${candidate.escalatesTo.model} ${candidate.escalatesTo.version}`;
}
