import {type InstanceId, type ZoneId} from '@valehitch/core';
import {type MemberRecord} from '@valehitch/membership';

/** An instance that was given up. */
export type LostInstance = {
	readonly instance: InstanceId;
	readonly zone: ZoneId;
	/** The start that was given up, in milliseconds since 1970. */
	readonly startedAt: number;
};

/**
Tells listeners once of each start of an instance that was given up.

@example
```ts
lost.listen(({instance}) => propose(instance));
lost.look(members);
```
*/
export class LostInstances {
	readonly #listeners: Array<(lost: LostInstance) => void> = [];
	#told = new Set<string>();

	/**
	Adds a listener.

	@param listener Told of each lost instance from the next look on.
	*/
	listen(listener: (lost: LostInstance) => void): void {
		this.#listeners.push(listener);
	}

	/**
	Tells of those that were lost since the last look.

	@param members All members.
	*/
	look(members: readonly MemberRecord[]): void {
		const lost = new Set<string>();
		for (const {instance, zone, startedAt, state, sequence} of members) {
			if (state !== 'lost') {
				continue;
			}

			const key = `${instance}/${startedAt}/${sequence}`;
			lost.add(key);
			if (!this.#told.has(key)) {
				this.#tell({instance, zone, startedAt});
			}
		}

		this.#told = lost;
	}

	#tell(lost: LostInstance): void {
		for (const listener of this.#listeners) {
			listener(lost);
		}
	}
}
