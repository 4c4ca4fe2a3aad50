import {type VersionId} from '@valehitch/core';
import {prefixHash} from '@valehitch/routing';
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
	/** The share of all requests up to the end of the canary stage that the target may receive. */
	readonly canaryShare: number;
};

const hashRange = 67_108_859;
/** Sessions stay on the old version for this share of the duration; requests without a session may use the target from the start. */
const sessionStartShare = 0.5;
/** Between these shares of the duration the target's share of requests grows to all of them. Its caches fill while the other servers still take load, and failures that occur only under load show before all requests depend on the target. */
export const shiftStartShare = 0.62;
const shiftEndShare = 0.78;
/** Sessions receive in the rest of the canary stage what they could not use before, since a version that few requests have reached cannot be evaluated. */
const sessionShareFactor = shiftStartShare / (shiftStartShare - sessionStartShare);

/**
Assigns a request to a cohort of a rollout.

The cohort is determined by a hash of the session, so that all instances assign it alike. A session that has reached the target stays there, because the target's share only grows.

@param rollout The newest rollout of the service, with its age.
@param options The inputs.
@returns The cohort.
@example
```ts
assignCohort(rollout, {hashKey: 'crew-7', hasSession: true, pinnedVersion: undefined, canaryShare: 0.1});
```
*/
export function assignCohort({target, duration, stage, age}: RolloutWithAge, {hashKey, hasSession, pinnedVersion, canaryShare}: AssignCohortOptions): RolloutCohort {
	if (stage === 'rolled-back') {
		return 'others';
	}

	if (stage === 'completed' || pinnedVersion === target) {
		return 'target';
	}

	const progress = age / duration;
	// The session may have been started on the old version by another instance, and only a pin to the target rules that out.
	const keepsOldVersion = hasSession && progress < sessionStartShare;
	const initialShare = hasSession ? sessionShareFactor * canaryShare : canaryShare;
	const share = stage === 'canary' ? initialShare : Math.max(initialShare, (progress - shiftStartShare) / (shiftEndShare - shiftStartShare));
	return !keepsOldVersion && prefixHash(hashKey) < share * hashRange ? 'target' : 'others';
}
