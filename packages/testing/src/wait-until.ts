import {setInterval} from 'node:timers/promises';

/** Options for `waitUntil`. */
export type WaitOptions = {
	/** Description of the awaited condition, for the error message. */
	readonly description: string;
	/** Timeout in milliseconds; 20 000 by default. */
	readonly timeoutMilliseconds?: number;
	/** Milliseconds between polls; 50 by default. */
	readonly intervalMilliseconds?: number;
};

/**
Polls until a condition is met.

@param poll Returns the awaited value, or undefined while there is none; an error counts as undefined.
@param options The timeout, the interval and a description.
@returns The value that `poll` returned.
@throws On timeout, with the last error as the cause. Its message is also part of this error's message, since not every test reporter shows causes.
@example
```ts
await waitUntil(async () => await isHealthy() || undefined, {description: 'a healthy daemon'});
```
*/
export async function waitUntil<Value>(poll: () => Promise<Value | undefined>, options: WaitOptions): Promise<Value> {
	const deadline = performance.now() + (options.timeoutMilliseconds ?? 20_000);
	let cause: unknown;
	for await (const hasTimedOut of setInterval(options.intervalMilliseconds ?? 50, () => performance.now() >= deadline)) {
		try {
			const value = await poll();
			if (value !== undefined) {
				return value;
			}

			cause = undefined;
		} catch (error) {
			cause = error;
		}

		if (hasTimedOut()) {
			break;
		}
	}

	const detail = cause instanceof Error ? ` (${cause.message})` : '';
	throw new Error(`Timed out waiting for ${options.description}${detail}`, {cause});
}
