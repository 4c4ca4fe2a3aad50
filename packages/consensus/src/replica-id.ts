import {type Brand} from '@valehitch/core';

/** Names one replica: an instance together with the identity of its data folder; a wiped folder is another replica. */
export type ReplicaId = Brand<string, 'ReplicaId'>;

const separator = '/';

/**
Makes the id of a replica.

@param instance The instance.
@param identity The identity that the data folder holds, made anew for an empty folder.
@returns The id.
@example
```ts
toReplicaId('entry-1', '6f1c');
```
*/
export function toReplicaId(instance: string, identity: string): ReplicaId {
	return `${instance}${separator}${identity}` as ReplicaId;
}

/**
The instance of a replica.

@param id The replica.
@returns The instance's name.
@example
```ts
instanceOf(toReplicaId('entry-1', '6f1c')); // 'entry-1'
```
*/
export function instanceOf(id: ReplicaId): string {
	return id.slice(0, id.indexOf(separator));
}
