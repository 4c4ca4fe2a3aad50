import {
	type Configuration, type EffectiveConfiguration, type ModelId, type RolloutProgress, type VersionConfiguration, type VersionId, versionKey,
} from '@valehitch/core';
import {versionDetails} from './_version-details.js';

/** The document and the progress of its roll-outs, without a revision. */
export type Reconciled = Pick<EffectiveConfiguration, 'document' | 'rollouts'>;

type Version = {
	readonly model: ModelId;
	readonly version: VersionId;
	readonly details: VersionConfiguration;
};

/**
Brings the roll-outs in line with a new document.

A version newly `rolling-out` begins at stage 0. A stopped version stays stopped and a completed one settled, whatever an older file says, until a document withdraws it or leaves it out.
*/
export function reconcileRollouts(document: Configuration, {rollouts, at}: {readonly rollouts: EffectiveConfiguration['rollouts']; readonly at: number}): Reconciled {
	const next: Record<string, RolloutProgress> = {};
	let settledDocument = document;
	for (const {model, version, details} of versionsOf(document)) {
		const key = versionKey(model, version);
		const progress = progressOf({model, version, details}, {known: rollouts[key], at});
		if (progress === undefined) {
			continue;
		}

		next[key] = progress;
		if (progress.status === 'completed' && details.state === 'rolling-out') {
			settledDocument = withVersion(settledDocument, {model, version, details: {...details, state: 'settled'}});
		}
	}

	return {document: settledDocument, rollouts: next};
}

/** Raises a roll-out by one stage; after the last one it is completed and its version settled. */
export function advance({document, rollouts}: Reconciled, {progress, at}: {readonly progress: RolloutProgress; readonly at: number}): Reconciled {
	const {model, version, stage} = progress;
	const details = versionDetails(document, progress);
	const key = versionKey(model, version);
	const isLast = stage + 1 >= (details?.stages?.length ?? 0);
	if (!isLast) {
		return {document, rollouts: {...rollouts, [key]: {...progress, stage: stage + 1, stageStartedAt: at}}};
	}

	return {
		document: details === undefined ? document : withVersion(document, {model, version, details: {...details, state: 'settled'}}),
		rollouts: {...rollouts, [key]: {...progress, status: 'completed', stageStartedAt: at}},
	};
}

function * versionsOf({models}: Configuration): Generator<Version> {
	for (const [model, {versions}] of Object.entries(models)) {
		for (const [version, details] of Object.entries(versions)) {
			yield {model: model as ModelId, version: version as VersionId, details};
		}
	}
}

function progressOf({model, version, details}: Version, {known, at}: {readonly known: RolloutProgress | undefined; readonly at: number}): RolloutProgress | undefined {
	if (details.state === 'withdrawn') {
		return undefined;
	}

	if (known !== undefined && known.status !== 'running') {
		return known;
	}

	if (details.state === 'settled') {
		return known && {...known, status: 'completed', stageStartedAt: at};
	}

	return known ?? {
		model, version, stage: 0, status: 'running', stageStartedAt: at,
	};
}

function withVersion(document: Configuration, {model, version, details}: Version): Configuration {
	const versions = {...document.models[model]?.versions, [version]: details};
	return {...document, models: {...document.models, [model]: {...document.models[model], versions}}};
}
