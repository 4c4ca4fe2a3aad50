import {type ServerState} from './server-record.js';

const ranks: Readonly<Record<ServerState, number>> = {ready: 0, draining: 1, gone: 2};

/**
Whether one state is further on the way to a server's end than another.

@param one A state.
@param other Another state.
@returns Whether `one` is nearer to the end.
@example
```ts
isGraver('gone', 'draining'); // true
```
*/
export function isGraver(one: ServerState, other: ServerState): boolean {
	return ranks[one] > ranks[other];
}
