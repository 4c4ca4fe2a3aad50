import {type ServerView} from './server-view.js';

/** How load is estimated. */
export type ServerLoadOptions = {
	/** The time constant in milliseconds with which the reported load of other instances decays towards the mean over the servers; 150 by default. */
	readonly reportDecayMilliseconds?: number;
	/** The mean load from other instances per unit of capacity; 0 by default. */
	readonly meanOtherLoad?: number;
	/** The time in milliseconds over which a new server ramps up to its full capacity; 30,000 by default. */
	readonly slowStartMilliseconds?: number;
};

const minimumCapacityShare = 0.1;

/**
Estimates the number of requests in progress on a server: those of this instance as counted here, and those of other instances as reported.

A request of this instance is counted once, whether or not the report included it. An outdated report of a single server says little more than the mean over the servers (Mitzenmacher, 2000), so the estimate decays towards the mean.

@param server The server.
@param options How load is estimated.
@returns The estimated number of requests, which may be fractional.
@example
```ts
serverLoad(server); // 8, for 5 requests of other instances by the report and 3 of this one
```
*/
export function serverLoad(server: ServerView, {reportDecayMilliseconds = 150, meanOtherLoad = 0}: ServerLoadOptions = {}): number {
	const reportWeight = Math.exp(-server.reportAge / reportDecayMilliseconds);
	return server.ownInFlight + (reportedOtherLoad(server) * reportWeight) + (meanOtherLoad * capacityBySpeed(server) * (1 - reportWeight));
}

/**
Returns the number of requests of other instances according to the last report.

@param server The server.
@returns The number of requests.
@example
```ts
reportedOtherLoad({...server, reportedInFlight: 5, ownInFlightAtReport: 2}); // 3
```
*/
export function reportedOtherLoad(server: ServerView): number {
	return Math.max(0, server.reportedInFlight - server.ownInFlightAtReport);
}

/**
Returns the capacity of a server that is fully started, by its speed.

@param server The server.
@returns The capacity in requests of a server of mean speed, above 0.
@example
```ts
capacityBySpeed({...server, capacity: 8, speed: 0.5}); // 4
```
*/
export function capacityBySpeed({capacity, speed = 1}: Pick<ServerView, 'capacity' | 'speed'>): number {
	return capacity * speed;
}

/**
Returns the capacity of a server by its speed and under slow start, which ramps up to the full capacity after the server has started.

@param server The server.
@param options The duration of the slow start.
@returns The capacity in requests, above 0.
@example
```ts
effectiveCapacity({...server, capacity: 8, uptime: 15_000}); // 4
```
*/
export function effectiveCapacity(server: ServerView, {slowStartMilliseconds = 30_000}: ServerLoadOptions = {}): number {
	const share = slowStartMilliseconds === 0 ? 1 : server.uptime / slowStartMilliseconds;
	return capacityBySpeed(server) * Math.min(1, Math.max(minimumCapacityShare, share));
}
