import {type InstanceId, type ZoneId} from '@valehitch/core';
import {type MemberRecord} from '@valehitch/membership';

/** An instance that was declared lost. */
export type LostInstance = {
	readonly instance: InstanceId;
	readonly zone: ZoneId;
	/** When the lost process of the instance started, as Unix time in milliseconds. */
	readonly startedAt: number;
};

/**
Notifies listeners once of each lost process of an instance.

@example
```ts
notifier.addListener(({instance}) => propose(instance));
notifier.update(members);
```
*/
export class LostInstanceNotifier {
	readonly #listeners: Array<(lost: LostInstance) => void> = [];
	#notified = new Set<string>();

	/**
	Adds a listener.

	@param listener Called with each lost instance from the next update on.
	*/
	addListener(listener: (lost: LostInstance) => void): void {
		this.#listeners.push(listener);
	}

	/**
	Notifies the listeners of instances that were lost since the last update.

	@param members All members.
	*/
	update(members: readonly MemberRecord[]): void {
		const lost = new Set<string>();
		for (const {instance, zone, startedAt, state, sequence} of members) {
			if (state !== 'lost') {
				continue;
			}

			const key = `${instance}/${startedAt}/${sequence}`;
			lost.add(key);
			if (!this.#notified.has(key)) {
				this.#notify({instance, zone, startedAt});
			}
		}

		this.#notified = lost;
	}

	#notify(lost: LostInstance): void {
		for (const listener of this.#listeners) {
			listener(lost);
		}
	}
}
