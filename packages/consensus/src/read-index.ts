import {type LeaseOptions, leaseValidUntil} from './lease-valid-until.js';
import {type ReplicaState} from './replica-state.js';

/**
Returns the index that a state machine must have applied before it serves a linearizable read.

@param state The replica.
@param now Milliseconds of the monotonic clock, read after the read request arrived.
@param options The rounds that count for the lease.
@returns The commit index, or undefined if the replica holds no valid lease or has not committed the first entry of its term.
@example
```ts
readIndex(state, clock.monotonic());
```
*/
export function readIndex(state: ReplicaState, now: number, options: LeaseOptions = {}): number | undefined {
	const {role, commitIndex} = state;
	const until = leaseValidUntil(state, options);
	if (role.type !== 'leader' || until === undefined || now >= until) {
		return undefined;
	}

	return commitIndex >= role.termStartIndex ? commitIndex : undefined;
}
