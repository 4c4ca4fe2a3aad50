import {compareStarts} from './compare-starts.js';
import {isGraver} from './is-graver.js';
import {type ServerRecord} from './server-record.js';

/**
Merges the current record of a server with a received one. A record of a later process replaces the other. For the same process the later announcement wins, except that a shutdown is never reverted.

@param current The current record.
@param received The received record, which may be outdated.
@returns The merged record.
@example
```ts
mergeServerRecord({...record, state: 'draining'}, record).state; // 'draining'
```
*/
export function mergeServerRecord(current: ServerRecord, received: ServerRecord): ServerRecord {
	const order = compareStarts(received, current);
	if (order !== 0) {
		return order > 0 ? received : current;
	}

	const newer = received.sequence >= current.sequence ? received : current;
	const state = isGraver(received.state, current.state) ? received.state : current.state;
	return {...newer, state};
}
