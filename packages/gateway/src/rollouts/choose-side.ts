import {type VersionId} from '@valehitch/core';
import {prefixHash} from '@valehitch/routing';
import {type RunningRollout} from './rollout.js';

/** Which servers may take a request: those of the target, those of any other version, or all. */
export type RolloutSide = 'target' | 'others' | 'any';

/** What decides the side of a request. */
export type ChooseSideOptions = {
	/** The session, or the request where it belongs to none. */
	readonly subject: string;
	readonly hasSession: boolean;
	/** The version that the session ran on last, where that is known. */
	readonly pinned: VersionId | undefined;
	/** The share of the requests that the target gets before it is judged. */
	readonly canaryShare: number;
};

const hashRange = 67_108_859;
/** Sessions stay on the old version for this share of the duration; requests without a session try the target from its start. */
const sessionShare = 0.5;
/** Between these shares of the duration the target's share grows to all: its caches fill while the other servers still help, and what fails only under load shows before all depends on it. */
const shiftStart = 0.58;
const shiftEnd = 0.78;

/**
Chooses between the versions of a service in a roll-out.

The choice is a hash of the session, so that all instances choose alike, and a session that reached the target stays there: the target's share only grows.

@param rollout The newest roll-out of the service, with its age.
@param options What decides.
@returns The side.
@example
```ts
chooseSide(rollout, {subject: 'crew-7', hasSession: true, pinned: undefined, canaryShare: 0.1});
```
*/
export function chooseSide({target, duration, stage, age}: RunningRollout, {subject, hasSession, pinned, canaryShare}: ChooseSideOptions): RolloutSide {
	if (stage === 'rolled-back') {
		return 'others';
	}

	if (stage === 'completed' || pinned === target) {
		return 'target';
	}

	const passed = age / duration;
	// Another instance may have begun the session on the old version; only the target can be known for sure.
	const mayBeOld = hasSession && passed < sessionShare;
	const share = stage === 'canary' ? canaryShare : Math.max(canaryShare, (passed - shiftStart) / (shiftEnd - shiftStart));
	return !mayBeOld && prefixHash(subject) < share * hashRange ? 'target' : 'others';
}
