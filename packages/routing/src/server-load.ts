import {type ServerView} from './server-view.js';

/** How load is estimated. */
export type ServerLoadOptions = {
	/** Milliseconds after which what a report says of other instances begins to fade; 5000 by default. */
	readonly staleMilliseconds?: number;
	/** Milliseconds over which a new server gets up to its full share; 30,000 by default. */
	readonly slowStartMilliseconds?: number;
};

const leastStart = 0.1;

/**
Estimates the requests that a server works on: those of this instance as counted here, and those of others as reported.

A request of this instance is counted once, whether or not the report knew it already.

@param server The server.
@param options How load is estimated.
@returns The requests, not always a whole number.
@example
```ts
serverLoad(server); // 5 of others by the report, and 3 of our own
```
*/
export function serverLoad(server: ServerView, {staleMilliseconds = 5000}: ServerLoadOptions = {}): number {
	const others = Math.max(0, server.reportedActive - server.ownAtReport);
	const trust = Math.min(1, staleMilliseconds / Math.max(1, server.reportAge));
	return server.ownInFlight + (others * trust);
}

/**
Tells the capacity of a server, which grows to its full size in the time after its start.

@param server The server.
@param options The time of the slow start.
@returns The capacity in requests, above 0.
@example
```ts
startedCapacity({...server, capacity: 8, uptime: 15_000}); // 4
```
*/
export function startedCapacity(server: ServerView, {slowStartMilliseconds = 30_000}: ServerLoadOptions = {}): number {
	const share = slowStartMilliseconds === 0 ? 1 : server.uptime / slowStartMilliseconds;
	return server.capacity * Math.min(1, Math.max(leastStart, share));
}
