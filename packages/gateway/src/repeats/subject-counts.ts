import {PrefixShares, RepeatShare} from '@valehitch/routing';

/** How much is remembered of the subjects of one route. */
export type SubjectCountsOptions = {
	/** The most subjects that are remembered to tell repeats; 1024 by default. */
	readonly maximumSubjects?: number;
};

/** The counts of frequent subjects follow the last few hundred requests: a subject that is asked about by everybody for some seconds must be known as frequent within one or two. */
const halvingCount = 400;
/** Enough that a subject of 1 in 256 requests is never missed, and that none is taken for four in a thousand more than it has; some 20 KB. */
const maximumPrefixes = 256;

/**
What is counted of the subjects on one route: how often they repeat, and which are frequent.

@example
```ts
const counts = new SubjectCounts();
counts.note(5137, now);
counts.repeats.share;
```
*/
export class SubjectCounts {
	readonly repeats: RepeatShare;
	readonly frequency = new PrefixShares({maximumPrefixes, halvingCount});

	/**
	@param options How much is remembered.
	*/
	constructor({maximumSubjects}: SubjectCountsOptions = {}) {
		this.repeats = new RepeatShare(maximumSubjects === undefined ? {} : {maximumSubjects});
	}

	/**
	Counts a request.

	@param subject The hash of what it is about.
	@param now Milliseconds on the monotonic clock.
	*/
	note(subject: number, now: number): void {
		this.repeats.note(subject, now);
		this.frequency.count(subject);
	}
}
