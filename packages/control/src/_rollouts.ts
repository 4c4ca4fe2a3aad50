import {
	type Configuration, type EffectiveConfiguration, type ModelId, type RolloutProgress, type VersionConfiguration, type VersionId, versionKey,
} from '@valehitch/core';
import {versionDetails} from './_version-details.js';

/** A document and the progress of its rollouts, without a revision. */
export type ConfigurationContent = Pick<EffectiveConfiguration, 'document' | 'rollouts'>;

type ListedVersion = {
	readonly model: ModelId;
	readonly version: VersionId;
	readonly details: VersionConfiguration;
};

/**
Updates the rollouts to match a new document.

A version that is newly `rolling-out` starts at stage 0. A stopped version stays stopped and a completed one settled, even if the document says otherwise, because it may be an older file. Only a document that withdraws or omits the version resets it.
*/
export function reconcileRollouts(document: Configuration, {rollouts, at}: {readonly rollouts: EffectiveConfiguration['rollouts']; readonly at: number}): ConfigurationContent {
	const next: Record<string, RolloutProgress> = {};
	let settledDocument = document;
	for (const {model, version, details} of listVersions(document)) {
		const key = versionKey(model, version);
		const progress = nextProgress({model, version, details}, {existing: rollouts[key], at});
		if (progress === undefined) {
			continue;
		}

		next[key] = progress;
		if (progress.status === 'completed' && details.state === 'rolling-out') {
			settledDocument = replaceVersion(settledDocument, {model, version, details: {...details, state: 'settled'}});
		}
	}

	return {document: settledDocument, rollouts: next};
}

/** Advances a rollout by one stage. After the last stage the rollout is completed and its version settled. */
export function advanceStage({document, rollouts}: ConfigurationContent, {progress, at}: {readonly progress: RolloutProgress; readonly at: number}): ConfigurationContent {
	const {model, version, stage} = progress;
	const details = versionDetails(document, progress);
	const key = versionKey(model, version);
	const isLast = stage + 1 >= (details?.stages?.length ?? 0);
	if (!isLast) {
		return {document, rollouts: {...rollouts, [key]: {...progress, stage: stage + 1, stageStartedAt: at}}};
	}

	return {
		document: details === undefined ? document : replaceVersion(document, {model, version, details: {...details, state: 'settled'}}),
		rollouts: {...rollouts, [key]: {...progress, status: 'completed', stageStartedAt: at}},
	};
}

function * listVersions({models}: Configuration): Generator<ListedVersion> {
	for (const [model, {versions}] of Object.entries(models)) {
		for (const [version, details] of Object.entries(versions)) {
			yield {model: model as ModelId, version: version as VersionId, details};
		}
	}
}

function nextProgress({model, version, details}: ListedVersion, {existing, at}: {readonly existing: RolloutProgress | undefined; readonly at: number}): RolloutProgress | undefined {
	if (details.state === 'withdrawn') {
		return undefined;
	}

	if (existing !== undefined && existing.status !== 'running') {
		return existing;
	}

	if (details.state === 'settled') {
		return existing && {...existing, status: 'completed', stageStartedAt: at};
	}

	return existing ?? {
		model, version, stage: 0, status: 'running', stageStartedAt: at,
	};
}

function replaceVersion(document: Configuration, {model, version, details}: ListedVersion): Configuration {
	const versions = {...document.models[model]?.versions, [version]: details};
	return {...document, models: {...document.models, [model]: {...document.models[model], versions}}};
}
