import {
	type ChangeId, type EffectiveConfiguration, emptyConfiguration, type Failure, failure, type ModelId, type RolloutProgress, toRevision, type VersionId, versionKey,
} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import {changedPaths} from './_changed-paths.js';
import {versionDetails} from './_version-details.js';
import {advanceStage, type ConfigurationContent, reconcileRollouts} from './_rollouts.js';
import {type AdvanceRolloutCommand, type ApplyConfigurationCommand, type StopVersionCommand} from './command.js';
import {type ChangeCause, type ConfigurationChange} from './configuration-change.js';
import {type CommandContext} from './_command-context.js';
import {type ControlLimits} from './control-limits.js';

/** The result of the first command with a change id, returned again for a resend. */
type RecordedResult = {
	readonly digest: string;
	/** Milliseconds of the replicated clock. */
	readonly at: number;
	readonly revision: number;
	/** The failure if the change was refused. */
	readonly failed?: Failure;
};

/** The snapshot form of `ConfigurationChanges`. */
export type ConfigurationData = {
	readonly effective: EffectiveConfiguration;
	readonly remembered: ReadonlyArray<readonly [ChangeId, RecordedResult]>;
	readonly history: readonly ConfigurationChange[];
};

const maximumHistoryEntries = 32;
const emptyData: ConfigurationData = {
	effective: {revision: toRevision(0), document: emptyConfiguration, rollouts: {}}, remembered: [], history: [],
};

/** The configuration with its revision and recent changes. */
export class ConfigurationChanges {
	#effective: EffectiveConfiguration;
	readonly #results: Map<ChangeId, RecordedResult>;
	#history: readonly ConfigurationChange[];

	constructor({effective, remembered, history}: ConfigurationData = emptyData) {
		this.#effective = effective;
		this.#results = new Map(remembered);
		this.#history = history;
	}

	get effective(): EffectiveConfiguration {
		return this.#effective;
	}

	get history(): readonly ConfigurationChange[] {
		return this.#history;
	}

	apply(command: ApplyConfigurationCommand, {limits, clock}: CommandContext): Either<Failure, number> {
		const {changeId, digest} = command;
		const earlier = this.#results.get(changeId);
		if (earlier !== undefined) {
			return earlier.digest === digest
				? replayResult(earlier)
				: Left(failure('change-id-reused', `Change id ${changeId} was already used with a different document`));
		}

		const result = this.#compareAndSet(command);
		this.#recordResult(changeId, {
			digest, at: clock.upperBound, revision: this.#effective.revision, ...(result.isLeft() && {failed: result.extract()}),
		}, limits);
		return result;
	}

	advance({model, version, fromStage, at}: AdvanceRolloutCommand): Either<Failure, RolloutProgress> {
		const progress = this.#effective.rollouts[versionKey(model, version)];
		if (progress === undefined) {
			return Left(failure('not-found', `No rollout of ${model} ${version} exists`));
		}

		if (progress.status !== 'running' || progress.stage !== fromStage) {
			const message = `Cannot advance the rollout of ${model} ${version} from stage ${fromStage}: it is at stage ${progress.stage} with status ${progress.status}`;
			return Left(failure('revision-conflict', message, {details: {rollout: progress}}));
		}

		this.#commit(advanceStage(this.#effective, {progress, at}), {cause: {type: 'rollout-advanced', model, version}, at});
		return Right(this.#rolloutOf(model, version) ?? progress);
	}

	stop({model, version, reason, at}: StopVersionCommand): Either<Failure, RolloutProgress> {
		const {document, rollouts} = this.#effective;
		const details = versionDetails(document, {model, version});
		if (details === undefined || details.state === 'withdrawn') {
			return Left(failure('not-found', `Cannot stop ${model} ${version}: the version is not listed or is withdrawn`));
		}

		const existing = this.#rolloutOf(model, version);
		if (existing?.status === 'stopped') {
			return Right(existing);
		}

		const stopped: RolloutProgress = {
			model, version, stage: existing?.stage ?? 0, status: 'stopped', stageStartedAt: at, reason,
		};
		this.#commit({document, rollouts: {...rollouts, [versionKey(model, version)]: stopped}}, {cause: {type: 'version-stopped', model, version}, at});
		return Right(stopped);
	}

	expire({limits: {changeIdMilliseconds}, clock}: CommandContext): void {
		for (const [changeId, earlier] of this.#results) {
			if (earlier.at + changeIdMilliseconds > clock.elapsed) {
				break;
			}

			this.#results.delete(changeId);
		}
	}

	toData(): ConfigurationData {
		return {effective: this.#effective, remembered: [...this.#results], history: this.#history};
	}

	#compareAndSet({expectedRevision, document, changeId, operator, at}: ApplyConfigurationCommand): Either<Failure, number> {
		const {revision, rollouts} = this.#effective;
		if (expectedRevision !== revision) {
			const changes = this.#history.filter(change => change.revision > expectedRevision);
			return Left(failure('revision-conflict', `Got revision ${expectedRevision}, wanted the current revision ${revision}`, {details: {currentRevision: revision, changes}}));
		}

		this.#commit(reconcileRollouts(document, {rollouts, at}), {cause: {type: 'operator', operator, changeId}, at});
		return Right(this.#effective.revision);
	}

	#commit({document, rollouts}: ConfigurationContent, {cause, at}: {readonly cause: ChangeCause; readonly at: number}): void {
		const revision = toRevision(this.#effective.revision + 1);
		const paths = cause.type === 'operator' ? changedPaths(this.#effective.document, document) : [`models.${cause.model}`];
		this.#effective = {revision, document, rollouts};
		this.#history = [...this.#history, {
			revision, cause, at, paths,
		}].slice(-maximumHistoryEntries);
	}

	#recordResult(changeId: ChangeId, result: RecordedResult, {changeIds}: ControlLimits): void {
		this.#results.set(changeId, result);
		for (const oldest of this.#results.keys()) {
			if (this.#results.size <= changeIds) {
				return;
			}

			this.#results.delete(oldest);
		}
	}

	#rolloutOf(model: ModelId, version: VersionId): RolloutProgress | undefined {
		return this.#effective.rollouts[versionKey(model, version)];
	}
}

function replayResult({revision, failed}: RecordedResult): Either<Failure, number> {
	return failed === undefined ? Right(revision) : Left(failed);
}
