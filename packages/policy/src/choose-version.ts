import {
	costOf, type EffectiveConfiguration, type Failure, failure, type Micros, type ModelId, type ModelRequest, type PolicyRule, type VersionConfiguration, type VersionId,
} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';

/** A model and version that may serve a request. */
export type Candidate = {
	readonly model: ModelId;
	readonly version: VersionId;
	readonly quality: number;
	readonly expectedCost: Micros;
};

/** Why a candidate was or was not chosen; `explain` shows it. */
export type Consideration = Candidate & {readonly verdict: string};

/** The chosen version and what lost. */
export type Choice = {
	readonly chosen: Candidate;
	readonly considered: readonly Consideration[];
};

const expectedOutputTokens = 200;

/**
Chooses the cheapest allowed version whose listed quality meets the target.

@param request The request.
@param options The configuration in force, the rule of the request, and which versions have a server.
@returns The choice, or the failure that the caller is told.
@example
```ts
chooseVersion(request, {configuration, rule, isServed: () => true});
```
*/
export function chooseVersion(request: ModelRequest, options: ChooseVersionOptions): Either<Failure, Choice> {
	const considered: Consideration[] = [];
	let best: Candidate | undefined;
	for (const candidate of candidates(request, options)) {
		const verdict = verdictOn(candidate, options);
		considered.push({...candidate, verdict});
		if (verdict === 'eligible' && (best === undefined || candidate.expectedCost < best.expectedCost)) {
			best = candidate;
		}
	}

	return best === undefined
		? Left(noVersion(request, considered))
		: Right({chosen: best, considered});
}

/** What the choice depends on besides the request. */
export type ChooseVersionOptions = {
	readonly configuration: EffectiveConfiguration;
	readonly rule: PolicyRule;
	/** Whether some server has the version loaded and takes work. */
	readonly isServed: (model: ModelId, version: VersionId) => boolean;
};

function candidates(request: ModelRequest, {configuration, rule}: ChooseVersionOptions): Candidate[] {
	const found: Candidate[] = [];
	const allowed = configuration.document.workspaces[request.workspace]?.allowed ?? {};
	const models = request.namedModel === undefined ? rule.models : [request.namedModel];
	for (const model of models) {
		for (const version of allowed[model] ?? []) {
			const details = configuration.document.models[model]?.versions[version];
			if (details?.state === 'settled') {
				found.push(toCandidate(request, {model, version, details}));
			}
		}
	}

	return found;
}

type VersionDetails = {
	readonly model: ModelId;
	readonly version: VersionId;
	readonly details: VersionConfiguration;
};

function toCandidate(request: ModelRequest, {model, version, details}: VersionDetails): Candidate {
	const output = request.facts.maxTokens > 0 ? Math.min(request.facts.maxTokens, expectedOutputTokens) : expectedOutputTokens;
	return {
		model,
		version,
		quality: details.quality,
		expectedCost: costOf(details.prices, {input: request.facts.promptTokens, output}),
	};
}

function verdictOn(candidate: Candidate, {rule, isServed}: ChooseVersionOptions): string {
	if (candidate.quality < rule.qualityTarget) {
		return `quality ${candidate.quality} is below the target ${rule.qualityTarget}`;
	}

	return isServed(candidate.model, candidate.version) ? 'eligible' : 'no server has it loaded';
}

function noVersion(request: ModelRequest, considered: readonly Consideration[]): Failure {
	if (considered.length === 0) {
		return failure('forbidden', `Got model ${request.facts.model}, wanted one that workspace ${request.workspace} may use`);
	}

	const reasons = considered.map(({model, version, verdict}) => `${model} ${version}: ${verdict}`);
	return failure('no-server', `Got no version that can serve the request (${reasons.join('; ')})`, {retryAfterMilliseconds: 1000});
}
