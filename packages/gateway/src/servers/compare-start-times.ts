import {type ServerRecord} from './server-record.js';

/**
Compares two records by the start times of their processes; a record without a start time sorts first.

A server may restart under the same id. Its sequence numbers then start again, so that records of different processes must not be compared by sequence number.

@param one A record.
@param other Another record of the same server, or of the same address.
@returns A positive number if the process of `one` started later, a negative number if it started earlier, and 0 if both records are from the same process.
@example
```ts
compareStartTimes({...record, startedAt: 2000}, {...record, startedAt: 1000}); // positive
```
*/
export function compareStartTimes(one: Pick<ServerRecord, 'startedAt'>, other: Pick<ServerRecord, 'startedAt'>): number {
	return (one.startedAt ?? 0) - (other.startedAt ?? 0);
}
