import {type InstanceId, type ZoneId} from '@valehitch/core';

/** What an instance says of itself. */
export type ReaderState = {
	/** Whether it reads the message. */
	readonly canRead: boolean;
	/** Its availability zone; undefined if it does not say. */
	readonly zone?: ZoneId | undefined;
};

/**
Tracks which other instances say that they read a type of message. One of the version before would end its process on it, and a process that stops answering may have been replaced by that version.

@example
```ts
const readers = new MessageReaders();
readers.record(instance, {canRead: reply.takesWorkReports === true});
readers.near(zone); // [instance]
```
*/
export class MessageReaders {
	readonly #zones = new Map<InstanceId, ZoneId | undefined>();

	/**
	Returns the instances that read the message.

	@param zone The preferred availability zone.
	@returns Those of the zone; if it has none, all of them.
	*/
	near(zone: ZoneId): readonly InstanceId[] {
		const ids = [...this.#zones.keys()];
		const local = ids.filter(id => this.#zones.get(id) === zone);
		return local.length > 0 ? local : ids;
	}

	/**
	Records what an instance says of itself.

	@param instance The instance.
	@param state Whether it reads the message, and its zone.
	*/
	record(instance: InstanceId, {canRead, zone}: ReaderState): void {
		if (canRead) {
			this.#zones.set(instance, zone);
		} else {
			this.#zones.delete(instance);
		}
	}

	/**
	Forgets an instance that did not answer, until it says again that it reads the message.

	@param instance The instance.
	*/
	forget(instance: InstanceId): void {
		this.#zones.delete(instance);
	}

	/**
	Checks whether an instance reads the message.

	@param instance The instance.
	@returns Whether it said so and has answered since.
	*/
	has(instance: InstanceId): boolean {
		return this.#zones.has(instance);
	}
}
