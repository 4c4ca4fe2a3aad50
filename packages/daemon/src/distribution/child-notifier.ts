import {type Clock, type InstanceId} from '@valehitch/core';

/** Options of a {@linkcode ChildNotifier}. */
export type ChildNotifierOptions = {
	readonly clock: Clock;
	/** How long after its last contact a child is no longer notified, in milliseconds. */
	readonly forgetMilliseconds: number;
	/** Sends the notification. */
	readonly send: (child: InstanceId) => void;
};

const batchMilliseconds = 50;

/**
Notifies the children of updates, so that they start an exchange at once. Updates within a short time are combined into one notification.

@example
```ts
notifier.recordContact(child);
notifier.notify({except: child});
```
*/
export class ChildNotifier {
	readonly #options: ChildNotifierOptions;
	readonly #lastContactAt = new Map<InstanceId, number>();
	readonly #pending = new Set<InstanceId>();
	#timer: NodeJS.Timeout | undefined;

	constructor(options: ChildNotifierOptions) {
		this.#options = options;
	}

	/**
	Records a message from a child.

	@param child The child.
	*/
	recordContact(child: InstanceId): void {
		this.#lastContactAt.set(child, this.#options.clock.monotonic());
	}

	/**
	Schedules a notification of all children.

	@param options `except`: the child from which the update came.
	*/
	notify(options: {readonly except?: InstanceId} = {}): void {
		for (const child of this.#lastContactAt.keys()) {
			if (child !== options.except) {
				this.#pending.add(child);
			}
		}

		if (this.#pending.size > 0) {
			this.#timer ??= setTimeout(() => {
				this.#flush();
			}, batchMilliseconds);
		}
	}

	/** Cancels a scheduled notification. */
	stop(): void {
		clearTimeout(this.#timer);
	}

	#flush(): void {
		const {clock, forgetMilliseconds, send} = this.#options;
		const oldest = clock.monotonic() - forgetMilliseconds;
		this.#timer = undefined;
		for (const child of this.#pending) {
			if ((this.#lastContactAt.get(child) ?? 0) < oldest) {
				this.#lastContactAt.delete(child);
			} else {
				send(child);
			}
		}

		this.#pending.clear();
	}
}
