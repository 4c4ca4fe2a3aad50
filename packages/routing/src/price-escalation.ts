/** Options of {@linkcode priceEscalation}. */
export type PriceEscalationOptions = {
	/** The predicted wait at the pool, in milliseconds. */
	readonly wait: number;
	/** The shortest target latency of the routes that use the pool, in milliseconds. */
	readonly target: number;
	/** The processing time of the prompt by the largest model over that of a mean prompt that wants it. */
	readonly relativeDemand: number;
	/** The priority of the request; 0 is the most urgent. */
	readonly priority: number;
};

/** The wait up to which processing time is free, as a share of the target: the most urgent requests then still have time for two reads. */
const freeWaitShare = 0.25;

/**
Prices the second read of a prompt by what it takes from the other requests of the pool. It answers the load of callers of several urgencies who compete for the time in which servers process prompts.

The price of processing time rises with the predicted wait, by the same figure for all requests. A request thus gives way the sooner the longer its prompt and the lower its priority, and not by how late it is itself.

@param options The state of the pool, and the request.
@returns The price as a share of the value of a right answer: 0 without contention, above 1 if no answer is worth it.
@example
```ts
priceEscalation({wait: 600, target: 1500, relativeDemand: 3, priority: 2});
```
*/
export function priceEscalation({wait, target, relativeDemand, priority}: PriceEscalationOptions): number {
	const free = freeWaitShare * target;
	if (wait <= free) {
		return 0;
	}

	const pressure = (wait - free) / (target - free);
	return pressure * relativeDemand * (priority + 1);
}
