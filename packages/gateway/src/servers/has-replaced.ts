import {compareStartTimes} from './compare-start-times.js';
import {type ServerRecord} from './server-record.js';

/**
Checks whether a server has replaced another: it started later at the same address, which means that the other process has ended.

A killed process does not announce its shutdown. Without this check, every entry instance would send requests to the dead process until one is refused or five heartbeats are missed, which takes 6 s at a heartbeat interval of 1.2 s.

@param server The server that may have replaced the other.
@param other The server that may have been replaced.
@returns Whether `other` has ended.
@example
```ts
hasReplaced({...record, id: 'b', startedAt: 2000}, {...record, id: 'a', startedAt: 1000}); // true
```
*/
export function hasReplaced(server: ServerRecord, other: ServerRecord): boolean {
	// Records without a start time cannot be ordered.
	const isOrdered = server.startedAt !== undefined && other.startedAt !== undefined;
	return isOrdered && server.host === other.host && server.port === other.port && compareStartTimes(server, other) > 0;
}
