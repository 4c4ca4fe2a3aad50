import {type ServerState} from './server-record.js';

const ranks: Readonly<Record<ServerState, number>> = {ready: 0, draining: 1, gone: 2};

/**
Checks whether one server state comes later in the shutdown sequence than another.

@param one A state.
@param other Another state.
@returns Whether `one` comes later.
@example
```ts
isLaterState('gone', 'draining'); // true
```
*/
export function isLaterState(one: ServerState, other: ServerState): boolean {
	return ranks[one] > ranks[other];
}
