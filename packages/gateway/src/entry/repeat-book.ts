import {RecentMap} from '@valehitch/core';
import {RepeatShare} from '@valehitch/routing';
import {type RouteId} from '../configuration/routing-configuration.js';

/** The request that is counted. */
export type NoteRepeatOptions = {
	/** What its prompt is about. */
	readonly subject: string;
	/** Milliseconds on the monotonic clock. */
	readonly now: number;
};

/** The most routes that are kept, the least recently used going first: few have prompts, and each remembers up to a thousand subjects. */
const maximumRoutes = 32;

/**
How often the subjects of prompts repeat, by route.

@example
```ts
const repeats = new RepeatBook();
const share = repeats.note(route.id, {subject: '5c1e07a2', now});
```
*/
export class RepeatBook {
	readonly #shares = new RecentMap<RouteId, RepeatShare>(maximumRoutes);

	/**
	Counts a request.

	@param route Its route.
	@param options What it is about, and when it came.
	@returns The share of the route's requests whose subject was known, from 0 to 1.
	*/
	note(route: RouteId, {subject, now}: NoteRepeatOptions): number {
		const repeats = this.#shares.touch(route, () => new RepeatShare());
		repeats.note(subject, now);
		return repeats.share;
	}
}
