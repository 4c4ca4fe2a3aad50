import {type RouteId} from '../configuration/routing-configuration.js';
import {type RouteSubjects} from './route-repeats.js';

/** One request that is still to be told. */
export type NotedSubject = {
	/** The hash of what it is about. */
	readonly subject: number;
	/** Milliseconds on the monotonic clock. */
	readonly now: number;
};

type LoggedSubject = NotedSubject & {
	readonly number: number;
	readonly route: RouteId;
};

/** Subjects are told within this time or not at all, in milliseconds: control instances are asked more than once a second, and one that is asked later must not take old requests for new ones. */
const keptMilliseconds = 3000;
/** The most subjects that are kept, some 30 KB: above 170 requests a second at one instance the latest are told, which is enough to count repeats. */
const maximumKept = 512;

/**
The subjects that an entry instance was asked about of late, so that each control instance gets each of them once.

A subject costs five bytes in each of three questions: some 25 bytes a second at one of 195 instances that share 300 requests a second.

@example
```ts
const log = new SubjectLog();
log.note(route.id, {subject: 5137, now});
log.next(control, now);
```
*/
export class SubjectLog {
	readonly #toldUntil = new Map<string, number>();
	#logged: LoggedSubject[] = [];
	#last = 0;

	/**
	Notes a request.

	@param route Its route.
	@param noted What it is about, and when it came.
	*/
	note(route: RouteId, noted: NotedSubject): void {
		this.#last++;
		this.#logged.push({...noted, route, number: this.#last});
		if (this.#logged.length > maximumKept) {
			this.#logged.shift();
		}
	}

	/**
	Takes what a reader was not told yet; what is lost on the way is not told again.

	@param reader The control instance.
	@param now Milliseconds on the monotonic clock.
	@returns The subjects by route.
	*/
	next(reader: string, now: number): readonly RouteSubjects[] {
		this.#logged = this.#logged.filter(logged => now - logged.now <= keptMilliseconds);
		const told = this.#toldUntil.get(reader) ?? 0;
		this.#toldUntil.set(reader, this.#last);
		const byRoute = new Map<RouteId, number[]>();
		for (const {route, subject, number} of this.#logged) {
			if (number > told) {
				byRoute.set(route, [...byRoute.get(route) ?? [], subject]);
			}
		}

		return [...byRoute].map(([route, subjects]) => ({route, subjects}));
	}
}
