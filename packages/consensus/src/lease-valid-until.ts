import {leaseBeginOf, leaseEndOf} from './_lease.js';
import {type ReplicaState} from './replica-state.js';

/** Which rounds a lease may rest on. */
export type LeaseOptions = {
	/** Milliseconds on the monotonic clock: rounds sent before do not count, as after a suspension, during which that clock stood still; minus infinity by default. */
	readonly validSince?: number;
};

/**
When the lease of a leader ends; before that no other replica can lead.

It runs from when the newest heartbeat round was sent that a quorum has answered, for the minimum election timeout less the drift margin (after Gray and Cheriton, 1989). Compare it with the clock right before each act that relies on it.

@param state The replica.
@param options Which rounds it may rest on.
@returns Milliseconds on the monotonic clock, exclusive, or undefined for a replica that holds no lease.
@example
```ts
const until = leaseValidUntil(state);
const isValid = until !== undefined && clock.monotonic() < until;
```
*/
export function leaseValidUntil(state: ReplicaState, {validSince = Number.NEGATIVE_INFINITY}: LeaseOptions = {}): number | undefined {
	const {role} = state;
	if (role.type !== 'leader' || leaseBeginOf(state, role) < validSince) {
		return undefined;
	}

	const end = leaseEndOf(state, role);
	return Number.isFinite(end) ? end : undefined;
}
