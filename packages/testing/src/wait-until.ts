import {setInterval} from 'node:timers/promises';

/** How long to wait, and for what. */
export type WaitOptions = {
	/** What is waited for, for the error. */
	readonly what: string;
	/** 20 000 by default. */
	readonly timeoutMilliseconds?: number;
	/** Milliseconds between two tries; 50 by default. */
	readonly everyMilliseconds?: number;
};

/**
Tries again and again until something is there.

@param look Gives what is waited for, or undefined; an error counts as undefined.
@param options How long, and for what.
@returns What `look` gave.
@throws When the time is over, with the last error as the cause and its message in the own one, since not every reporter shows causes.
@example
```ts
await waitUntil(async () => await isHealthy() || undefined, {what: 'a healthy daemon'});
```
*/
export async function waitUntil<Found>(look: () => Promise<Found | undefined>, options: WaitOptions): Promise<Found> {
	const deadline = performance.now() + (options.timeoutMilliseconds ?? 20_000);
	let cause: unknown;
	for await (const isOver of setInterval(options.everyMilliseconds ?? 50, () => performance.now() >= deadline)) {
		try {
			const found = await look();
			if (found !== undefined) {
				return found;
			}

			cause = undefined;
		} catch (error) {
			cause = error;
		}

		if (isOver()) {
			break;
		}
	}

	const detail = cause instanceof Error ? ` (${cause.message})` : '';
	throw new Error(`Waited in vain for ${options.what}${detail}`, {cause});
}
