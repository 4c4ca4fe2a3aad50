/** What decides whether an instance that stops may still send a request. */
export type StoppingSend = {
	/** When the time limit of the request ends, in milliseconds on the monotonic clock. */
	readonly deadlineAt: number;
	/** When the instance answers what is left, in milliseconds on the monotonic clock; undefined unless it stops. */
	readonly answersDueAt: number | undefined;
	/** Whether it is certain that the request has not run, so that a refusal lets its caller turn to another instance. */
	readonly isNotRun: boolean;
	/** Milliseconds on the monotonic clock. */
	readonly now: number;
};

/**
Checks whether an instance that stops may send a request, for the first time or again. It answers the load of requests that are under way when one of several instances is stopped.

A request that has not run is sent only if its whole time limit ends before the instance does: a refusal costs its caller a few milliseconds, since other instances take it at once. One that may have run, or whose answer has begun, gains nothing by a refusal, so it is sent while any time is left.

@param send The request and the stop.
@returns Whether it may be sent.
@example
```ts
mayStartWhileStopping({deadlineAt: 9000, answersDueAt: 7000, isNotRun: true, now: 100}); // false
```
*/
export function mayStartWhileStopping({deadlineAt, answersDueAt, isNotRun, now}: StoppingSend): boolean {
	if (answersDueAt === undefined) {
		return true;
	}

	return isNotRun ? deadlineAt <= answersDueAt : now < answersDueAt;
}
