import {RecentMap} from '@valehitch/core';
import {type RouteId} from '../configuration/routing-configuration.js';
import {type RouteRepeats, type RouteSubjects} from './route-repeats.js';
import {SubjectCounts, type SubjectCountsOptions} from './subject-counts.js';

/** The most routes that are kept, the least recently used going first: few have prompts, and each remembers up to a thousand subjects. */
const maximumRoutes = 32;
/** A subject below this share of its route's requests is not told: a server in fifty can keep up with it alone. */
const leastFrequentShare = 0.02;

type ToldRoute = {
	readonly share: number;
	/** The shares of the frequent subjects, by their hashes. */
	readonly frequent: ReadonlyMap<number, number>;
};

/**
How often the subjects of prompts repeat and which are frequent, by route: as counted here, and as told by control.

One of hundreds of entry instances sees hardly any subject twice: with 195 of them, 133 requests a second and 2448 subjects, 12 of its own requests were enough to take subjects that all repeat within 20 s for new ones, and prompts were sent to servers that had never read them. Nor can it see that everybody asks about the same subject, whose one home would be swamped.

@example
```ts
const repeats = new RepeatBook();
repeats.note(route.id, {subject: 5137, now});
repeats.shareOf(route.id);
```
*/
export class RepeatBook {
	readonly #options: SubjectCountsOptions;
	readonly #counts = new RecentMap<RouteId, SubjectCounts>(maximumRoutes);
	readonly #told = new RecentMap<RouteId, ToldRoute>(maximumRoutes);

	/**
	@param options How much is remembered of each route.
	*/
	constructor(options: SubjectCountsOptions = {}) {
		this.#options = options;
	}

	/** What is counted here, by route. */
	get counted(): readonly RouteRepeats[] {
		return this.#counts.entries.map(([route, {repeats, frequency}]) => ({
			route, share: repeats.share, frequent: frequency.above(leastFrequentShare),
		}));
	}

	/**
	Counts a request.

	@param route Its route.
	@param noted The hash of what it is about, and when it came, in milliseconds on the monotonic clock.
	*/
	note(route: RouteId, {subject, now}: {readonly subject: number; readonly now: number}): void {
		this.#countsOf(route).note(subject, now);
	}

	/**
	How often subjects on a route repeat, by all that is known: what one instance counts is never above what holds for the deployment.

	@param route The route.
	@returns The share, from 0 to 1.
	*/
	shareOf(route: RouteId): number {
		return Math.max(this.#countsOf(route).repeats.share, this.#told.peek(route)?.share ?? 0);
	}

	/**
	The share that a subject has of the requests on its route over the whole deployment.

	@param route The route.
	@param subject The hash of the subject.
	@returns The share, from 0 to 1; 0 where it is not frequent, or control told nothing yet.
	*/
	frequencyOf(route: RouteId, subject: number): number {
		return this.#told.peek(route)?.frequent.get(subject) ?? 0;
	}

	/**
	Takes what a control instance counted; it replaces what was told before.

	@param repeats The repeats by route.
	*/
	take(repeats: readonly RouteRepeats[]): void {
		for (const {route, share, frequent} of repeats) {
			this.#told.set(route, {share, frequent: new Map(frequent.map(({prefix, share: frequency}) => [prefix, frequency]))});
		}
	}

	/**
	Counts what an entry instance was asked.

	@param asked The subjects by route.
	@param now Milliseconds on the monotonic clock.
	*/
	hear(asked: readonly RouteSubjects[], now: number): void {
		for (const {route, subjects} of asked) {
			const counts = this.#countsOf(route);
			for (const subject of subjects) {
				counts.note(subject, now);
			}
		}
	}

	#countsOf(route: RouteId): SubjectCounts {
		return this.#counts.touch(route, () => new SubjectCounts(this.#options));
	}
}
