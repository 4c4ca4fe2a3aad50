import {type VersionId} from '@valehitch/core';
import {prefixHash} from '@valehitch/routing';
import {planRollout} from './plan-rollout.js';
import {type RolloutWithAge} from './rollout.js';

/** The servers to which a request may be sent: those of the target version, those of any other version, or all. */
export type RolloutCohort = 'target' | 'others' | 'any';

/** The inputs that determine the cohort of a request. */
export type AssignCohortOptions = {
	/** The session of the request, or the request itself if it has no session. */
	readonly hashKey: string;
	readonly hasSession: boolean;
	/** The version that last served the session, if known. */
	readonly pinnedVersion: VersionId | undefined;
	/** The share of all requests within the duration that a bad target may receive, from 0 to 1. */
	readonly canaryShare: number;
};

const hashRange = 67_108_859;

/**
Assigns a request to a cohort of a rollout.

The cohort is determined by a hash of the session, so that all instances assign it alike. A session that has reached the target stays there, because the target's share only grows. One that may have been started on the old version stays there for the first half.

@param rollout The newest rollout of the service, with its age.
@param options The inputs.
@returns The cohort.
@example
```ts
assignCohort(rollout, {hashKey: 'crew-7', hasSession: true, pinnedVersion: undefined, canaryShare: 0.1});
```
*/
export function assignCohort(rollout: RolloutWithAge, {hashKey, hasSession, pinnedVersion, canaryShare}: AssignCohortOptions): RolloutCohort {
	const {target, stage} = rollout;
	if (stage === 'rolled-back') {
		return 'others';
	}

	if (stage === 'completed' || pinnedVersion === target) {
		return 'target';
	}

	return prefixHash(hashKey) < targetShare(rollout, {hasSession, canaryShare}) * hashRange ? 'target' : 'others';
}

function targetShare({duration, stage, age}: RolloutWithAge, {hasSession, canaryShare}: Pick<AssignCohortOptions, 'hasSession' | 'canaryShare'>): number {
	const {start, share, shiftStart, shiftEnd} = planRollout({duration, canaryShare, hasSession});
	const progress = age / duration;
	if (progress < start) {
		return 0;
	}

	return stage === 'canary' ? share : Math.min(1, Math.max(share, (progress - shiftStart) / (shiftEnd - shiftStart)));
}
