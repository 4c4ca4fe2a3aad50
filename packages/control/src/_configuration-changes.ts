import {
	type ChangeId, type EffectiveConfiguration, emptyConfiguration, type Failure, failure, type ModelId, type RolloutProgress, toRevision, type VersionId, versionKey,
} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import {changedPaths} from './_changed-paths.js';
import {versionDetails} from './_version-details.js';
import {advance, type Reconciled, reconcileRollouts} from './_rollouts.js';
import {type AdvanceRolloutCommand, type ApplyConfigurationCommand, type StopVersionCommand} from './command.js';
import {type ChangeCause, type ConfigurationChange} from './configuration-change.js';
import {type CommandContext} from './_command-context.js';
import {type ControlLimits} from './control-limits.js';

/** The first answer to a change id. */
type Remembered = {
	readonly digest: string;
	/** The time of the log, in milliseconds. */
	readonly at: number;
	readonly revision: number;
	/** The failure, where the change was refused. */
	readonly failed?: Failure;
};

/** The configuration in a snapshot. */
export type ConfigurationData = {
	readonly effective: EffectiveConfiguration;
	readonly remembered: ReadonlyArray<readonly [ChangeId, Remembered]>;
	readonly history: readonly ConfigurationChange[];
};

const historyLength = 32;
const emptyData: ConfigurationData = {
	effective: {revision: toRevision(0), document: emptyConfiguration, rollouts: {}}, remembered: [], history: [],
};

/** The configuration, its revision, and the changes that led to it. */
export class ConfigurationChanges {
	#effective: EffectiveConfiguration;
	readonly #remembered: Map<ChangeId, Remembered>;
	#history: readonly ConfigurationChange[];

	constructor({effective, remembered, history}: ConfigurationData = emptyData) {
		this.#effective = effective;
		this.#remembered = new Map(remembered);
		this.#history = history;
	}

	get effective(): EffectiveConfiguration {
		return this.#effective;
	}

	get history(): readonly ConfigurationChange[] {
		return this.#history;
	}

	apply(command: ApplyConfigurationCommand, {limits, time}: CommandContext): Either<Failure, number> {
		const {changeId, digest} = command;
		const earlier = this.#remembered.get(changeId);
		if (earlier !== undefined) {
			return earlier.digest === digest
				? firstAnswer(earlier)
				: Left(failure('change-id-reused', `Got change id ${changeId} with another document, wanted a new change id`));
		}

		const result = this.#compareAndSet(command);
		this.#remember(changeId, {
			digest, at: time.latest, revision: this.#effective.revision, ...(result.isLeft() && {failed: result.extract()}),
		}, limits);
		return result;
	}

	advance({model, version, fromStage, at}: AdvanceRolloutCommand): Either<Failure, RolloutProgress> {
		const progress = this.#effective.rollouts[versionKey(model, version)];
		if (progress === undefined) {
			return Left(failure('not-found', `Got no roll-out of ${model} ${version}, wanted one that is running`));
		}

		if (progress.status !== 'running' || progress.stage !== fromStage) {
			return Left(failure('revision-conflict', `Got stage ${fromStage} of ${model} ${version}, wanted stage ${progress.stage}, which is ${progress.status}`, {details: {rollout: progress}}));
		}

		this.#commit(advance(this.#effective, {progress, at}), {cause: {type: 'rollout-advanced', model, version}, at});
		return Right(this.#progress(model, version) ?? progress);
	}

	stop({model, version, reason, at}: StopVersionCommand): Either<Failure, RolloutProgress> {
		const {document, rollouts} = this.#effective;
		const details = versionDetails(document, {model, version});
		if (details === undefined || details.state === 'withdrawn') {
			return Left(failure('not-found', `Got ${model} ${version}, which is not listed or withdrawn, wanted a version that takes work`));
		}

		const known = this.#progress(model, version);
		if (known?.status === 'stopped') {
			return Right(known);
		}

		const stopped: RolloutProgress = {
			model, version, stage: known?.stage ?? 0, status: 'stopped', stageStartedAt: at, reason,
		};
		this.#commit({document, rollouts: {...rollouts, [versionKey(model, version)]: stopped}}, {cause: {type: 'version-stopped', model, version}, at});
		return Right(stopped);
	}

	expire({limits: {changeIdMilliseconds}, time}: CommandContext): void {
		for (const [changeId, earlier] of this.#remembered) {
			if (earlier.at + changeIdMilliseconds > time.elapsed) {
				break;
			}

			this.#remembered.delete(changeId);
		}
	}

	toData(): ConfigurationData {
		return {effective: this.#effective, remembered: [...this.#remembered], history: this.#history};
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

	#commit({document, rollouts}: Reconciled, {cause, at}: {readonly cause: ChangeCause; readonly at: number}): void {
		const revision = toRevision(this.#effective.revision + 1);
		const paths = cause.type === 'operator' ? changedPaths(this.#effective.document, document) : [`models.${cause.model}`];
		this.#effective = {revision, document, rollouts};
		this.#history = [...this.#history, {
			revision, cause, at, paths,
		}].slice(-historyLength);
	}

	#remember(changeId: ChangeId, answer: Remembered, {changeIds}: ControlLimits): void {
		this.#remembered.set(changeId, answer);
		for (const oldest of this.#remembered.keys()) {
			if (this.#remembered.size <= changeIds) {
				return;
			}

			this.#remembered.delete(oldest);
		}
	}

	#progress(model: ModelId, version: VersionId): RolloutProgress | undefined {
		return this.#effective.rollouts[versionKey(model, version)];
	}
}

function firstAnswer({revision, failed}: Remembered): Either<Failure, number> {
	return failed === undefined ? Right(revision) : Left(failed);
}
