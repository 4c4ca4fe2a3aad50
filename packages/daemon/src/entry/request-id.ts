import {type InstanceId, type RequestId, toId} from '@valehitch/core';
import {sha256} from '../digest.js';

const tagLength = 6;

/**
Creates a request id that carries a tag of the instance that serves the request.

@param instance The instance.
@param unique A globally unique string.
@returns The id.
@example
```ts
createRequestId(settings.instance, randomUUID());
```
*/
export function createRequestId(instance: InstanceId, unique: string): RequestId {
	return toId<RequestId>(`${unique}-${tagOf(instance)}`);
}

/**
Returns whether an instance may have created a request id. False positives are possible but rare, since the tag is a short hash of the instance id.

@param request The request id.
@param instance The instance.
@returns Whether the id carries the tag of the instance.
@example
```ts
members.filter(({instance}) => mayOriginateFrom(request, instance));
```
*/
export function mayOriginateFrom(request: RequestId, instance: InstanceId): boolean {
	return request.endsWith(`-${tagOf(instance)}`);
}

function tagOf(instance: InstanceId): string {
	return sha256(instance).slice(0, tagLength);
}
