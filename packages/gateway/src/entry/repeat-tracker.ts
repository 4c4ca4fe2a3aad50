import {LruMap} from '@valehitch/core';
import {RepeatRate} from '@valehitch/routing';
import {type RouteId} from '../configuration/routing-configuration.js';

/** The maximum number of tracked routes, after which the least recently used one is discarded. Few routes have prompts, and each tracks up to a thousand subjects. */
const maximumRoutes = 32;

/**
Tracks per route how often the subjects of prompts repeat.

@example
```ts
const repeats = new RepeatTracker();
repeats.forRoute(route.id).record('5c1e07a2', now);
```
*/
export class RepeatTracker {
	readonly #shares = new LruMap<RouteId, RepeatRate>(maximumRoutes);

	/**
	Returns the tracker of a route, creating it if necessary.

	@param route The route.
	@returns The tracker, which also records further requests.
	*/
	forRoute(route: RouteId): RepeatRate {
		return this.#shares.getOrCreate(route, () => new RepeatRate());
	}
}
