import {compareStarts} from './compare-starts.js';
import {type ServerRecord} from './server-record.js';

/**
Whether a server has taken the place of another: it started later at the same address, so that the other's process has ended.

A process that was killed says nothing of its end. Without this every entry instance sends to the dead process until it gets a refusal or five heartbeats are missed, 6 s at a heartbeat of 1.2 s.

@param server The server that may have taken over.
@param other The server that was there.
@returns Whether `other` has ended.
@example
```ts
hasReplaced({...record, id: 'b', startedAt: 2000}, {...record, id: 'a', startedAt: 1000}); // true
```
*/
export function hasReplaced(server: ServerRecord, other: ServerRecord): boolean {
	// Records of servers that do not say when they started cannot be ordered.
	const isOrdered = server.startedAt !== undefined && other.startedAt !== undefined;
	return isOrdered && server.host === other.host && server.port === other.port && compareStarts(server, other) > 0;
}
