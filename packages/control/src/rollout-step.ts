import {
	type EffectiveConfiguration, type ModelId, type RolloutProgress, type RolloutStage, type VersionId, versionKey,
} from '@valehitch/core';
import {versionDetails} from './_version-details.js';
import {type AdvanceRolloutCommand, type StopVersionCommand} from './command.js';

/** The evidence on a version from all instances that rollout decisions depend on. */
export type RolloutEvidence = {
	/** The number of ratings since the stage started, or since this leader first saw the stage. */
	readonly ratings: number;
	/** Set once the version was detected as bad. */
	readonly alarm?: {readonly reason: string} | undefined;
};

/** The inputs of a rollout step. */
export type RolloutStepOptions = {
	readonly progress: RolloutProgress;
	readonly stages: readonly RolloutStage[];
	readonly evidence: RolloutEvidence;
	/** Unix time in milliseconds. */
	readonly now: number;
};

/** The next step of a rollout: a command to propose, or the unmet condition of the stage. */
export type RolloutStep = AdvanceRolloutCommand | StopVersionCommand | {
	readonly type: 'wait';
	/** A description of the unmet condition. */
	readonly unmetCondition: string;
};

/** A version of a model in the configuration. */
export type RolloutTarget = {readonly model: ModelId; readonly version: VersionId};

/** The inputs of `rolloutCommands`. */
export type RolloutCommandsOptions = {
	/** Returns the evidence on a version, with the ratings counted from the start of the stage. */
	readonly evidence: (target: RolloutTarget, progress: RolloutProgress | undefined) => RolloutEvidence;
	/** Unix time in milliseconds. */
	readonly now: number;
};

const millisecondsPerSecond = 1000;

/**
Decides the next step of a rollout. The progress is read from the replicated state only, so that a new leader continues where the previous one stopped.

@param options The progress, the stages, the evidence and the time.
@returns A command to propose, or the unmet condition of the stage.
@example
```ts
nextRolloutStep({progress, stages, evidence: {ratings: 40}, now: 0}).type; // 'advance-rollout'
```
*/
export function nextRolloutStep({progress, stages, evidence, now}: RolloutStepOptions): RolloutStep {
	const {model, version, stage: fromStage} = progress;
	if (evidence.alarm !== undefined) {
		return {
			type: 'stop-version', model, version, reason: evidence.alarm.reason, at: now,
		};
	}

	const stage = stages[fromStage];
	if (progress.status !== 'running') {
		return {type: 'wait', unmetCondition: `the rollout is ${progress.status}`};
	}

	const secondsLeft = (stage?.minimumSeconds ?? 0) - ((now - progress.stageStartedAt) / millisecondsPerSecond);
	if (secondsLeft > 0) {
		return {type: 'wait', unmetCondition: `${Math.ceil(secondsLeft)} seconds`};
	}

	const ratingsLeft = (stage?.minimumRatings ?? 0) - evidence.ratings;
	if (ratingsLeft > 0) {
		return {type: 'wait', unmetCondition: `${ratingsLeft} ratings`};
	}

	return {
		type: 'advance-rollout', model, version, fromStage, at: now,
	};
}

/**
Decides the commands for all listed versions that are not stopped.

A version in rollout is stopped when it is detected as bad. A settled version is stopped only if another version of its model is settled, so that a false alarm cannot stop the last one.

@param effective The committed configuration.
@param options The evidence and the time.
@returns The commands to propose.
@example
```ts
rolloutCommands(state.effective, {evidence: () => ({ratings: 0}), now: 0});
```
*/
export function rolloutCommands(effective: EffectiveConfiguration, {evidence, now}: RolloutCommandsOptions): ReadonlyArray<AdvanceRolloutCommand | StopVersionCommand> {
	const commands: Array<AdvanceRolloutCommand | StopVersionCommand> = [];
	for (const target of listVersions(effective)) {
		const {model, version} = target;
		const progress = effective.rollouts[versionKey(model, version)];
		if (progress?.status === 'stopped') {
			continue;
		}

		const versionEvidence = evidence(target, progress);
		if (progress?.status === 'running') {
			const stages = versionDetails(effective.document, target)?.stages ?? [];
			const step = nextRolloutStep({
				progress, stages, evidence: versionEvidence, now,
			});
			if (step.type !== 'wait') {
				commands.push(step);
			}
		} else if (versionEvidence.alarm !== undefined && isSettled(effective, target) && hasOtherSettledVersion(effective, target)) {
			commands.push({
				type: 'stop-version', model, version, reason: versionEvidence.alarm.reason, at: now,
			});
		}
	}

	return commands;
}

function listVersions({document}: EffectiveConfiguration): RolloutTarget[] {
	const targets: RolloutTarget[] = [];
	for (const [model, {versions}] of Object.entries(document.models)) {
		for (const version of Object.keys(versions)) {
			targets.push({model: model as ModelId, version: version as VersionId});
		}
	}

	return targets;
}

function isSettled({document, rollouts}: EffectiveConfiguration, target: RolloutTarget): boolean {
	return versionDetails(document, target)?.state === 'settled' && rollouts[versionKey(target.model, target.version)]?.status !== 'stopped';
}

function hasOtherSettledVersion(effective: EffectiveConfiguration, {model, version}: RolloutTarget): boolean {
	return listVersions(effective).some(other => other.model === model && other.version !== version && isSettled(effective, other));
}
