import {type InstanceId, type RequestId, toId} from '@valehitch/core';
import {sha256} from '../digest.js';

const tagLength = 6;

/**
Makes the id of a request, which shows the instance that serves it.

@param instance The instance.
@param unique A text that is never given twice.
@returns The id.
@example
```ts
requestIdOn(settings.instance, randomUUID());
```
*/
export function requestIdOn(instance: InstanceId, unique: string): RequestId {
	return toId<RequestId>(`${unique}-${tagOf(instance)}`);
}

/**
Tells whether an instance may have given out the id of a request; nearly no other one has the same mark.

@param request The request.
@param instance The instance.
@returns Whether the id bears its mark.
@example
```ts
members.filter(({instance}) => mayBeFrom(request, instance));
```
*/
export function mayBeFrom(request: RequestId, instance: InstanceId): boolean {
	return request.endsWith(`-${tagOf(instance)}`);
}

function tagOf(instance: InstanceId): string {
	return sha256(instance).slice(0, tagLength);
}
