import {RecentMap} from '@valehitch/core';
import {RepeatShare} from '@valehitch/routing';
import {type RouteId} from '../configuration/routing-configuration.js';

/** The most routes that are kept, the least recently used going first: few have prompts, and each remembers up to a thousand subjects. */
const maximumRoutes = 32;

/**
How often the subjects of prompts repeat, by route.

@example
```ts
const repeats = new RepeatBook();
repeats.of(route.id).note('5c1e07a2', now);
```
*/
export class RepeatBook {
	readonly #shares = new RecentMap<RouteId, RepeatShare>(maximumRoutes);

	/**
	The repeats on a route.

	@param route The route.
	@returns Its counts, which count further requests too.
	*/
	of(route: RouteId): RepeatShare {
		return this.#shares.touch(route, () => new RepeatShare());
	}
}
