import {type ReplicaState} from './replica-state.js';

/**
Returns whether a replica is the leader of its term. Another replica may lead a newer term unless this one holds a valid lease.

@param state The replica.
@returns Whether the replica is the leader.
@example
```ts
isLeader(state);
```
*/
export function isLeader({role}: ReplicaState): boolean {
	return role.type === 'leader';
}
