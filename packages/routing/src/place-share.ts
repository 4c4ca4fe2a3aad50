import {type InstanceId, type ServerId} from '@valehitch/core';
import {prefixHash, rendezvousScore} from './rendezvous-score.js';

/** Options of {@linkcode placeShare}. */
export type PlaceShareOptions = {
	readonly server: ServerId;
	/** The number of requests that the server processes concurrently. */
	readonly slots: number;
	readonly self: InstanceId;
	/** The other instances whose ids are known. */
	readonly others: readonly InstanceId[];
	/** The number of instances, this one and those whose ids are not known included. */
	readonly instances: number;
};

/** The part of the remaining places that is given out where the instances are not known, since chance gives some servers more holders than others. */
const reservedShare = 0.8;

/**
Returns the number of places of a server that an instance may use, so that all instances together use no more than the server has. It answers an overload of servers that must not reject many requests.

Where the ids of all instances are known, the shares add up to the places; otherwise they add up to somewhat fewer on average.

@param options The server and the instances.
@returns The number of places.
@example
```ts
placeShare({server, slots: 64, self, others, instances: 7}); // 9 or 10
```
*/
export function placeShare({server, slots, self, others, instances}: PlaceShareOptions): number {
	const whole = Math.floor(slots / instances);
	const remainder = slots - (whole * instances);
	const ownOrder = orderOf(self, server);
	const isFirst = others.length + 1 >= instances
		? others.filter(other => orderOf(other, server) < ownOrder).length < remainder
		: ownOrder < reservedShare * remainder / instances;
	return whole + (isFirst ? 1 : 0);
}

/** Returns the place of an instance in the order of all instances at a server, evenly distributed from 0 to 1. */
function orderOf(instance: InstanceId, server: ServerId): number {
	return Math.exp(-1 / rendezvousScore(prefixHash(instance), {server, capacity: 1}));
}
