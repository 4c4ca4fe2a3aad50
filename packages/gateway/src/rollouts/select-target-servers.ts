import {type ServerId} from '@valehitch/core';
import {prefixHash} from '@valehitch/routing';

/**
Selects the servers of a new version that receive requests: as large a part of them as the version's share of the requests.

They are then loaded like the servers of the old version. With less load a slow version would answer as quickly as a good one, and one that fails under load only would not fail.

@param servers The servers of the new version.
@param share The share of the requests that the new version receives, from 0 to 1.
@returns The selected servers. All instances select the same ones; a larger share adds further ones.
@example
```ts
selectTargetServers(servers, 0.15);
```
*/
export function selectTargetServers(servers: readonly ServerId[], share: number): ReadonlySet<ServerId> {
	const ordered = servers.toSorted((first, second) => prefixHash(first) - prefixHash(second));
	return new Set(ordered.slice(0, Math.ceil(share * ordered.length)));
}
