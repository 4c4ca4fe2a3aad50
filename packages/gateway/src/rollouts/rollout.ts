import {type ServiceId, type VersionId} from '@valehitch/core';

/** The stage of a rollout: a small share of requests, a share that grows to all new requests, or one of the two final stages. */
export type RolloutStage = 'canary' | 'shifting' | 'completed' | 'rolled-back';

/** A rollout of a service to a version, as stored in the replicated log. */
export type Rollout = {
	readonly service: ServiceId;
	readonly target: VersionId;
	/** The time within which the rollout should be completed, in milliseconds. */
	readonly duration: number;
	readonly stage: RolloutStage;
	/** The wall-clock time, in milliseconds, of the instance that received the order. Wall clocks differ and jump, so it is used only after all instances have restarted. */
	readonly orderedAt: number;
	/** How long the operator had sent the order when it could be committed, in milliseconds; absent if it was committed at once. */
	readonly waited?: number | undefined;
};

/** A rollout with the time since it was ordered. */
export type RolloutWithAge = Rollout & {
	/** The time since the order was committed, in milliseconds on the clock of the instance that reports it. */
	readonly age: number;
};

/** Checks whether the stage of a rollout is final. */
export function isEnded({stage}: Rollout): boolean {
	return stage === 'completed' || stage === 'rolled-back';
}
