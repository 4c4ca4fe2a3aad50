import {
	type EffectiveConfiguration, type ModelId, type RolloutProgress, type RolloutStage, type VersionId, versionKey,
} from '@valehitch/core';
import {versionDetails} from './_version-details.js';
import {type AdvanceRolloutCommand, type StopVersionCommand} from './command.js';

/** What is known of a version over all instances, as far as roll-outs ask. */
export type RolloutEvidence = {
	/** Ratings since the stage began, or since this leader first saw the stage. */
	readonly ratings: number;
	/** Set once the version was found bad. */
	readonly alarm?: {readonly reason: string} | undefined;
};

/** What a roll-out step is decided from. */
export type RolloutStepOptions = {
	readonly progress: RolloutProgress;
	readonly stages: readonly RolloutStage[];
	readonly evidence: RolloutEvidence;
	/** Milliseconds since 1970. */
	readonly now: number;
};

/** The next step of a roll-out: a command, or what it waits for. */
export type RolloutStep = AdvanceRolloutCommand | StopVersionCommand | {
	readonly type: 'wait';
	/** What the stage still lacks, in words. */
	readonly lacks: string;
};

/** A version in the configuration. */
export type RolloutTarget = {readonly model: ModelId; readonly version: VersionId};

/** What the commands of all roll-outs are decided from. */
export type RolloutCommandsOptions = {
	/** The evidence on a version; the ratings count from when the stage began. */
	readonly evidence: (target: RolloutTarget, progress: RolloutProgress | undefined) => RolloutEvidence;
	/** Milliseconds since 1970. */
	readonly now: number;
};

const millisecondsPerSecond = 1000;

/**
Decides the next step of one running roll-out; depends on replicated progress only, so that any new leader goes on where the last one stopped.

@param options The progress, the stages, the evidence and the time.
@returns A command to propose, or what the stage waits for.
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
		return {type: 'wait', lacks: `the roll-out is ${progress.status}`};
	}

	const secondsLeft = (stage?.minimumSeconds ?? 0) - ((now - progress.stageStartedAt) / millisecondsPerSecond);
	if (secondsLeft > 0) {
		return {type: 'wait', lacks: `${Math.ceil(secondsLeft)} seconds`};
	}

	const ratingsLeft = (stage?.minimumRatings ?? 0) - evidence.ratings;
	if (ratingsLeft > 0) {
		return {type: 'wait', lacks: `${ratingsLeft} ratings`};
	}

	return {
		type: 'advance-rollout', model, version, fromStage, at: now,
	};
}

/**
Decides the commands for all versions that take work.

A version in roll-out is stopped when it is found bad. A settled one is stopped only while another version of its model is settled, so that a false alarm cannot take the last one out.

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
	for (const target of targetsOf(effective)) {
		const {model, version} = target;
		const progress = effective.rollouts[versionKey(model, version)];
		if (progress?.status === 'stopped') {
			continue;
		}

		const found = evidence(target, progress);
		if (progress?.status === 'running') {
			const stages = versionDetails(effective.document, target)?.stages ?? [];
			const step = nextRolloutStep({
				progress, stages, evidence: found, now,
			});
			if (step.type !== 'wait') {
				commands.push(step);
			}
		} else if (found.alarm !== undefined && isSettled(effective, target) && hasOther(effective, target)) {
			commands.push({
				type: 'stop-version', model, version, reason: found.alarm.reason, at: now,
			});
		}
	}

	return commands;
}

function targetsOf({document}: EffectiveConfiguration): RolloutTarget[] {
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

function hasOther(effective: EffectiveConfiguration, {model, version}: RolloutTarget): boolean {
	return targetsOf(effective).some(other => other.model === model && other.version !== version && isSettled(effective, other));
}
