import {type ServerRecord} from './server-record.js';

/**
Compares two records by when their processes started; one that does not say counts as the earliest.

A server may start again under its id: its counters begin anew, so that records of two processes are never compared by their sequence numbers.

@param one A record.
@param other Another record of the same server, or of the same address.
@returns Above 0 where `one` is of the later process, below 0 where of the earlier, 0 where both are of the same.
@example
```ts
compareStarts({...record, startedAt: 2000}, {...record, startedAt: 1000}); // above 0
```
*/
export function compareStarts(one: Pick<ServerRecord, 'startedAt'>, other: Pick<ServerRecord, 'startedAt'>): number {
	return (one.startedAt ?? 0) - (other.startedAt ?? 0);
}
