import {leaseStart, leaseEnd} from './_lease.js';
import {type ReplicaState} from './replica-state.js';

/** Options for the validity of a lease. */
export type LeaseOptions = {
	/** Rounds sent before this time do not count, in milliseconds of the monotonic clock. Needed after a suspension, during which that clock does not advance. Default minus infinity. */
	readonly validSince?: number;
};

/**
Returns when the lease of a leader ends. No other replica can become the leader before.

The lease starts when the newest heartbeat round acknowledged by a quorum was sent, and lasts for the minimum election timeout minus the drift margin (after Gray and Cheriton, 1989). Compare its end with the clock immediately before each operation that relies on the lease.

@param state The replica.
@param options The rounds that count.
@returns Milliseconds of the monotonic clock, exclusive, or undefined if the replica holds no lease.
@example
```ts
const until = leaseValidUntil(state);
const isValid = until !== undefined && clock.monotonic() < until;
```
*/
export function leaseValidUntil(state: ReplicaState, {validSince = Number.NEGATIVE_INFINITY}: LeaseOptions = {}): number | undefined {
	const {role} = state;
	if (role.type !== 'leader' || leaseStart(state, role) < validSince) {
		return undefined;
	}

	const end = leaseEnd(state, role);
	return Number.isFinite(end) ? end : undefined;
}
