import {versionKey} from '@valehitch/core';
import {type VersionTarget} from '@valehitch/policy';

/**
Counts this instance's requests in progress on each version.

@example
```ts
const end = inProgress.begin(target);
end();
```
*/
export class InProgress {
	readonly #counts = new Map<string, number>();

	/**
	Tells how many requests are in progress on a version.

	@param target The version.
	@returns Their number.
	*/
	get({model, version}: VersionTarget): number {
		return this.#counts.get(versionKey(model, version)) ?? 0;
	}

	/**
	Counts a request.

	@param target The version that it runs on.
	@returns Ends the count of it.
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
