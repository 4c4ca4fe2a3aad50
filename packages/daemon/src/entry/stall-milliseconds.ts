import {type Settings} from '@valehitch/settings';

/** What the patience with a server depends on. */
export type StallOptions = {
	/** Whether the answer comes piece by piece. */
	readonly streamed: boolean;
	/** Milliseconds to the deadline of the request. */
	readonly remainingMilliseconds: number;
	readonly settings: Pick<Settings, 'timing'>;
};

/**
Works out for how long a server may say nothing.

A whole answer comes at its end only, so there it is half of the time that is left, so that another attempt can still be made; where little is left, the deadline comes first.

@param options The kind of answer and the time that is left.
@returns Milliseconds without a word after which a server counts as silent.
@example
```ts
stallMillisecondsOf({streamed: false, remainingMilliseconds: 60_000, settings}); // 30_000
```
*/
export function stallMillisecondsOf({streamed, remainingMilliseconds, settings: {timing}}: StallOptions): number {
	if (streamed) {
		return timing.stallMilliseconds;
	}

	return Math.max(Math.floor(remainingMilliseconds / 2), timing.stallMilliseconds);
}
