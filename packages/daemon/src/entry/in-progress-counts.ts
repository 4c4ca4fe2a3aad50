import {versionKey} from '@valehitch/core';
import {type VersionTarget} from '@valehitch/policy';

/**
Counts the requests in progress on this instance for each version.

@example
```ts
const end = inProgress.begin(target);
end();
```
*/
export class InProgressCounts {
	readonly #counts = new Map<string, number>();

	/**
	Returns the number of requests in progress for a version.

	@param target The version.
	@returns The number of requests.
	*/
	get({model, version}: VersionTarget): number {
		return this.#counts.get(versionKey(model, version)) ?? 0;
	}

	/**
	Adds a request to the count.

	@param target The version that serves the request.
	@returns A function that removes the request from the count.
	*/
	begin({model, version}: VersionTarget): () => void {
		const key = versionKey(model, version);
		this.#counts.set(key, (this.#counts.get(key) ?? 0) + 1);
		return () => {
			const left = (this.#counts.get(key) ?? 1) - 1;
			if (left === 0) {
				this.#counts.delete(key);
			} else {
				this.#counts.set(key, left);
			}
		};
	}
}
