/** A server among which arriving load is spread. */
export type LoadedServer = {
	/** The load as of the last report. */
	readonly load: number;
	/** The capacity, in the same units, above 0. */
	readonly capacity: number;
};

/**
Spreads the load that arrives between two reports over servers so that the least loaded ones are filled first, up to a common utilisation.

It answers the load of many instances that choose by the same old report: if all of them took the server that looks least loaded, it would be the busiest by the next report. What an instance draws with these shares as probabilities adds up, over all instances, to an even load (Dahlin, Interpreting Stale Load Information, 2000).

@param servers The servers.
@param arriving The load that arrives at all servers while the report is in use: 0 puts everything on the least loaded server, and the more arrives, the more even the shares.
@returns The load that each server gets, in the order of the servers.
@example
```ts
spreadArrivals([{load: 1, capacity: 10}, {load: 3, capacity: 10}, {load: 9, capacity: 10}], 4); // [3, 1, 0]
```
*/
export function spreadArrivals(servers: readonly LoadedServer[], arriving: number): readonly number[] {
	const level = fillLevel(servers, arriving);
	return servers.map(({load, capacity}) => Math.max(0, (level * capacity) - load));
}

/** Returns the utilisation up to which the least loaded servers are filled. */
function fillLevel(servers: readonly LoadedServer[], arriving: number): number {
	const sorted = servers.toSorted((one, other) => (one.load / one.capacity) - (other.load / other.capacity));
	let load = arriving;
	let capacity = 0;
	let level = Number.POSITIVE_INFINITY;
	for (const server of sorted) {
		if (server.load / server.capacity >= level) {
			break;
		}

		load += server.load;
		capacity += server.capacity;
		level = load / capacity;
	}

	return level;
}
