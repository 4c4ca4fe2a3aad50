import {leaseEndOf} from './_lease.js';
import {type ReplicaState} from './replica-state.js';

/**
When the lease of a leader ends; before that no other replica can lead.

It runs from when the newest heartbeat round was sent that a quorum has answered, for the minimum election timeout less the drift margin (after Gray and Cheriton, 1989). Compare it with the clock right before each act that relies on it.

@param state The replica.
@returns Milliseconds on the monotonic clock, exclusive, or undefined for a replica that holds no lease.
@example
```ts
const until = leaseValidUntil(state);
const isValid = until !== undefined && clock.monotonic() < until;
```
*/
export function leaseValidUntil(state: ReplicaState): number | undefined {
	const {role} = state;
	const end = role.type === 'leader' ? leaseEndOf(state, role) : Number.NEGATIVE_INFINITY;
	return Number.isFinite(end) ? end : undefined;
}
