import {type Settings} from '@valehitch/settings';

/** Options of {@linkcode stallMillisecondsOf}. */
export type StallOptions = {
	/** Whether the answer is streamed. */
	readonly streamed: boolean;
	/** The time until the deadline of the request, in milliseconds. */
	readonly remainingMilliseconds: number;
	readonly settings: Pick<Settings, 'timing'>;
};

/**
Computes how long a server may send no data before it is reported as silent.

A non-streamed answer arrives only when it is complete, so its timeout is half of the remaining time, which leaves time for another attempt. It is never below the timeout of a streamed answer; if less time remains, the deadline ends the request first.

@param options The kind of answer and the remaining time.
@returns The stall timeout, in milliseconds.
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
