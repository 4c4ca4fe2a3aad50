import {type ServerId} from '@valehitch/core';
import {type HeldWork, type PoolPicture, type ServerWork} from './pool-picture.js';

/** The servers of a service as a contention queue sees them. */
export type ContentionPool = {
	/** The work at each server that may get requests. */
	readonly servers: readonly ServerWork[];
	/** The age of the work of other instances, in milliseconds. */
	readonly age: number;
	/** The work that the other entry instances hold back, by priority. */
	readonly heldByOthers: readonly HeldWork[];
	/** The most urgent priority of the service's routes. */
	readonly urgentPriority: number;
	/** The shortest target latency of the routes of that priority, in milliseconds. */
	readonly urgentTarget: number;
	/** The least urgent priority of the service's routes. */
	readonly patientPriority: number;
};

/** The routes of a service and the servers that may get its requests. */
export type ContentionPoolOptions = {
	readonly servers: readonly ServerId[];
	/** The routes whose requests these servers may get. */
	readonly routes: ReadonlyArray<{
		readonly priority: number;
		/** The target time to the first event, in milliseconds. */
		readonly targetLatency: number;
	}>;
};

/** The age from which a picture counts as none, in milliseconds: servers process a wait of this length in the meantime. */
export const maximumPictureAge = 1500;

const idleServer: ServerWork = {reading: 0, streams: 0, slowness: 1};

/**
Returns what a contention queue needs to know of the servers of a service.

@param picture The load of all servers.
@param options The routes and the servers of the service.
@returns The pool; undefined if the picture is too old, or there is no server or no route.
@example
```ts
const pool = contentionPool(picture, {servers, routes});
```
*/
export function contentionPool({age, workAt, heldByOthers}: PoolPicture, {servers, routes}: ContentionPoolOptions): ContentionPool | undefined {
	const [first] = routes;
	if (!(age <= maximumPictureAge) || servers.length === 0 || first === undefined) {
		return undefined;
	}

	let {priority: urgentPriority, targetLatency: urgentTarget} = first;
	let patientPriority = urgentPriority;
	for (const {priority, targetLatency} of routes) {
		patientPriority = Math.max(patientPriority, priority);
		if (priority < urgentPriority || (priority === urgentPriority && targetLatency < urgentTarget)) {
			urgentPriority = priority;
			urgentTarget = targetLatency;
		}
	}

	return {
		servers: servers.map(server => workAt(server) ?? idleServer), age, heldByOthers, urgentPriority, urgentTarget, patientPriority,
	};
}
