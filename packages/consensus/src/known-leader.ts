import {type ReplicaId} from './replica-id.js';
import {type ReplicaState} from './replica-state.js';

/**
Returns the leader known to a replica, to which proposals should be sent.

@param state The replica.
@returns The leader of the replica's term, or undefined if none is known.
@example
```ts
knownLeader(state);
```
*/
export function knownLeader({leader}: ReplicaState): ReplicaId | undefined {
	return leader;
}
