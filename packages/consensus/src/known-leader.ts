import {type ReplicaId} from './replica-id.js';
import {type ReplicaState} from './replica-state.js';

/**
The leader that a replica knows of, to which proposals go.

@param state The replica.
@returns The leader of the replica's term, or undefined where it heard from none.
@example
```ts
knownLeader(state);
```
*/
export function knownLeader({leader}: ReplicaState): ReplicaId | undefined {
	return leader;
}
