import {type ServerId} from '@valehitch/core';
import {maximumPictureAge} from './contention-pool.js';
import {type PoolPicture} from './pool-picture.js';

/**
Predicts how long a request waits at the servers of a pool before its prompt is processed.

@param picture The picture of the pool; undefined if there is none.
@param servers The servers that may get the request.
@returns The mean wait in milliseconds; 0 if the picture is too old or shows none of the servers.
@example
```ts
predictPoolWait(picture, servers.map(({id}) => id));
```
*/
export function predictPoolWait(picture: PoolPicture | undefined, servers: readonly ServerId[]): number {
	if (picture === undefined || picture.age > maximumPictureAge) {
		return 0;
	}

	let sum = 0;
	let count = 0;
	for (const server of servers) {
		const work = picture.workAt(server);
		if (work !== undefined) {
			sum += work.reading * work.slowness;
			count++;
		}
	}

	return count === 0 ? 0 : sum / count;
}
