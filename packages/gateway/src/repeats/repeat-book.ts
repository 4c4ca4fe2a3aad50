import {RecentMap} from '@valehitch/core';
import {RepeatShare, type RepeatShareOptions} from '@valehitch/routing';
import {type RouteId} from '../configuration/routing-configuration.js';
import {type RouteRepeats, type RouteSubjects} from './route-repeats.js';

/** The most routes that are kept, the least recently used going first: few have prompts, and each remembers up to a thousand subjects. */
const maximumRoutes = 32;

/**
How often the subjects of prompts repeat, by route: as counted here, and as told by control.

One of hundreds of entry instances sees hardly any subject twice: with 195 of them, 133 requests a second and 2448 subjects, 12 of its own requests were enough to take subjects that all repeat within 20 s for new ones, and prompts were sent to servers that had never read them.

@example
```ts
const repeats = new RepeatBook();
repeats.of(route.id).note('5c1e07a2', now);
repeats.shareOf(route.id);
```
*/
export class RepeatBook {
	readonly #options: RepeatShareOptions;
	readonly #shares = new RecentMap<RouteId, RepeatShare>(maximumRoutes);
	readonly #told = new RecentMap<RouteId, number>(maximumRoutes);

	/**
	@param options How much is remembered of each route.
	*/
	constructor(options: RepeatShareOptions = {}) {
		this.#options = options;
	}

	/** The repeats on all routes, as counted here. */
	get counted(): readonly RouteRepeats[] {
		return this.#shares.entries.map(([route, {share}]) => ({route, share}));
	}

	/**
	The repeats on a route, as counted here.

	@param route The route.
	@returns Its counts, which count further requests too.
	*/
	of(route: RouteId): RepeatShare {
		return this.#shares.touch(route, () => new RepeatShare(this.#options));
	}

	/**
	How often subjects on a route repeat, by all that is known: what one instance counts is never above what holds for the deployment.

	@param route The route.
	@returns The share, from 0 to 1.
	*/
	shareOf(route: RouteId): number {
		return Math.max(this.of(route).share, this.#told.peek(route) ?? 0);
	}

	/**
	Takes what a control instance counted; it replaces what was told before.

	@param repeats The repeats by route.
	*/
	take(repeats: readonly RouteRepeats[]): void {
		for (const {route, share} of repeats) {
			this.#told.set(route, share);
		}
	}

	/**
	Counts what an entry instance was asked.

	@param asked The subjects by route.
	@param now Milliseconds on the monotonic clock.
	*/
	hear(asked: readonly RouteSubjects[], now: number): void {
		for (const {route, subjects} of asked) {
			const share = this.of(route);
			for (const subject of subjects) {
				share.note(subject, now);
			}
		}
	}
}
