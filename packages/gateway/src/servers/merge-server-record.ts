import {compareStartTimes} from './compare-start-times.js';
import {isLaterState} from './is-later-state.js';
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
	const order = compareStartTimes(received, current);
	if (order !== 0) {
		return order > 0 ? received : current;
	}

	const newer = received.sequence >= current.sequence ? received : current;
	const state = isLaterState(received.state, current.state) ? received.state : current.state;
	return {...newer, state};
}
