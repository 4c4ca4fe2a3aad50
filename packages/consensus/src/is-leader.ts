import {type ReplicaState} from './replica-state.js';

/**
Tells whether a replica takes itself for the leader; only a valid lease says that no other one is.

@param state The replica.
@returns Whether it leads its term.
@example
```ts
isLeader(state);
```
*/
export function isLeader({role}: ReplicaState): boolean {
	return role.type === 'leader';
}
