import {type InstanceId} from '@valehitch/core';

/**
Tracks which other instances say that they read a type of message. One of the version before would end its process on it, and a process that stops answering may have been replaced by that version.

@example
```ts
const readers = new MessageReaders();
readers.record(instance, {canRead: reply.takesWorkReports === true});
readers.ids; // [instance]
```
*/
export class MessageReaders {
	readonly #ids = new Set<InstanceId>();

	/** The instances that read the message. */
	get ids(): readonly InstanceId[] {
		return [...this.#ids];
	}

	/**
	Records what an instance says of itself.

	@param instance The instance.
	@param options Whether it reads the message.
	*/
	record(instance: InstanceId, {canRead}: {readonly canRead: boolean}): void {
		if (canRead) {
			this.#ids.add(instance);
		} else {
			this.#ids.delete(instance);
		}
	}

	/**
	Forgets an instance that did not answer, until it says again that it reads the message.

	@param instance The instance.
	*/
	forget(instance: InstanceId): void {
		this.#ids.delete(instance);
	}

	/**
	Checks whether an instance reads the message.

	@param instance The instance.
	@returns Whether it said so and has answered since.
	*/
	has(instance: InstanceId): boolean {
		return this.#ids.has(instance);
	}
}
