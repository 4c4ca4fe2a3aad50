import {compareStarts} from './compare-starts.js';
import {isGraver} from './is-graver.js';
import {type ServerRecord} from './server-record.js';

/**
Merges what is held of a server with what was told of it: the later process counts alone; of one process the later announcement counts, but a shutdown sticks.

@param held What is held.
@param told What was told, maybe late.
@returns The merged record.
@example
```ts
mergeServerRecord({...record, state: 'draining'}, record).state; // 'draining'
```
*/
export function mergeServerRecord(held: ServerRecord, told: ServerRecord): ServerRecord {
	const order = compareStarts(told, held);
	if (order !== 0) {
		return order > 0 ? told : held;
	}

	const newer = told.sequence >= held.sequence ? told : held;
	const state = isGraver(told.state, held.state) ? told.state : held.state;
	return {...newer, state};
}
