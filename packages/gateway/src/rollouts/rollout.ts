import {type ServiceId, type VersionId} from '@valehitch/core';

/** How far a roll-out is: a small share, all new work, or ended either way. */
export type RolloutStage = 'canary' | 'shifting' | 'completed' | 'rolled-back';

/** A roll-out of one service to a version, as the log holds it. */
export type Rollout = {
	readonly service: ServiceId;
	readonly target: VersionId;
	/** The time within which it should be completed, in milliseconds. */
	readonly duration: number;
	readonly stage: RolloutStage;
	/** The wall clock of the instance that took the order, in milliseconds; clocks differ and jump, so it only serves where all instances restarted. */
	readonly orderedAt: number;
};

/** A roll-out with the time since it was ordered. */
export type RunningRollout = Rollout & {
	/** Milliseconds since the order was committed, on the clock of the instance that tells. */
	readonly age: number;
};

/** Whether the stage is final. */
export function isEnded({stage}: Rollout): boolean {
	return stage === 'completed' || stage === 'rolled-back';
}
