import {type ServerView} from './server-view.js';

/** How load is estimated. */
export type ServerLoadOptions = {
	/** Milliseconds over which what a report says of other instances fades towards the mean of the servers; 150 by default. */
	readonly fadeMilliseconds?: number;
	/** The mean load by other instances for each slot of capacity; 0 by default. */
	readonly meanOthers?: number;
	/** Milliseconds over which a new server gets up to its full share; 30,000 by default. */
	readonly slowStartMilliseconds?: number;
};

const leastStart = 0.1;

/**
Estimates the requests that a server works on: those of this instance as counted here, and those of others as reported.

A request of this instance is counted once, whether or not the report knew it already. What an old report says of one server is worth little more than the mean (Mitzenmacher, 2000), so it fades towards it.

@param server The server.
@param options How load is estimated.
@returns The requests, not always a whole number.
@example
```ts
serverLoad(server); // 5 of others by the report, and 3 of our own
```
*/
export function serverLoad(server: ServerView, {fadeMilliseconds = 150, meanOthers = 0}: ServerLoadOptions = {}): number {
	const trust = Math.exp(-server.reportAge / fadeMilliseconds);
	return server.ownInFlight + (othersOn(server) * trust) + (meanOthers * server.capacity * (1 - trust));
}

/**
Tells what the last report says of the requests of other instances.

@param server The server.
@returns The requests.
@example
```ts
othersOn({...server, reportedActive: 5, ownAtReport: 2}); // 3
```
*/
export function othersOn(server: ServerView): number {
	return Math.max(0, server.reportedActive - server.ownAtReport);
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
