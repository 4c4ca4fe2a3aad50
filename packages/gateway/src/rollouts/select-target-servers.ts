import {type ServerId} from '@valehitch/core';
import {prefixHash} from '@valehitch/routing';

/**
Returns how many servers of a new version receive requests: the part that comes closest to the version's share of the requests, and at least one.

@param share The share of the requests that the new version receives, from 0 to 1.
@param servers The number of its servers.
@returns The number of selected servers.
@example
```ts
countSelected(0.15, 13); // 2
```
*/
export function countSelected(share: number, servers: number): number {
	return Math.min(servers, Math.max(1, Math.round(share * servers)));
}

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
	return new Set(ordered.slice(0, countSelected(share, ordered.length)));
}
