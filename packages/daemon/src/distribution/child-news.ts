import {type Clock, type InstanceId} from '@valehitch/core';

/** What the news to children needs. */
export type ChildNewsOptions = {
	readonly clock: Clock;
	/** Milliseconds of silence after which a child is no longer told. */
	readonly forgetMilliseconds: number;
	/** Sends the word that there is news. */
	readonly send: (child: InstanceId) => void;
};

const gatherMilliseconds = 50;

/**
Tells the children that there is news, so that they ask at once; news that comes close together is told once.

@example
```ts
news.heard(child);
news.tell({except: child});
```
*/
export class ChildNews {
	readonly #options: ChildNewsOptions;
	readonly #heardAt = new Map<InstanceId, number>();
	readonly #pending = new Set<InstanceId>();
	#timer: NodeJS.Timeout | undefined;

	constructor(options: ChildNewsOptions) {
		this.#options = options;
	}

	/**
	Notes a word of a child.

	@param child The child.
	*/
	heard(child: InstanceId): void {
		this.#heardAt.set(child, this.#options.clock.monotonic());
	}

	/**
	Tells all children soon.

	@param options `except`: the child that the news came from.
	*/
	tell(options: {readonly except?: InstanceId} = {}): void {
		for (const child of this.#heardAt.keys()) {
			if (child !== options.except) {
				this.#pending.add(child);
			}
		}

		if (this.#pending.size > 0) {
			this.#timer ??= setTimeout(() => {
				this.#flush();
			}, gatherMilliseconds);
		}
	}

	/** Stops telling. */
	stop(): void {
		clearTimeout(this.#timer);
	}

	#flush(): void {
		const {clock, forgetMilliseconds, send} = this.#options;
		const oldest = clock.monotonic() - forgetMilliseconds;
		this.#timer = undefined;
		for (const child of this.#pending) {
			if ((this.#heardAt.get(child) ?? 0) < oldest) {
				this.#heardAt.delete(child);
			} else {
				send(child);
			}
		}

		this.#pending.clear();
	}
}
