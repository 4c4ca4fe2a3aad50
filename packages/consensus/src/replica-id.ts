import {type Brand} from '@valehitch/core';

/** The id of a replica: an instance and the identity of its data folder. An instance with a wiped data folder is a new replica. */
export type ReplicaId = Brand<string, 'ReplicaId'>;

const separator = '/';

/**
Creates the id of a replica.

@param instance The instance.
@param identity The identity stored in the data folder, newly generated for an empty folder.
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
Returns the instance of a replica.

@param id The id of the replica.
@returns The instance's name.
@example
```ts
instanceOf(toReplicaId('entry-1', '6f1c')); // 'entry-1'
```
*/
export function instanceOf(id: ReplicaId): string {
	return id.slice(0, id.indexOf(separator));
}
