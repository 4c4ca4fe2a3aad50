import {setTimeout} from 'node:timers/promises';
import {type SavedList} from './saved-list.js';

/** A list at one moment. */
export type ListVersion<Item> = {
	/** The number of its last change. */
	readonly cursor: number;
	readonly items: readonly Item[];
};

/** What the saving of a list that changes needs. */
export type ListSaverOptions<Item> = {
	/** The list as it is now. */
	readonly current: () => ListVersion<Item>;
	readonly saved: Pick<SavedList<Item>, 'write'>;
};

/**
Saves a list where it changed, one save at a time; what changes during a save is saved right after it where that was asked for meanwhile.

@example
```ts
const saver = new ListSaver({current: () => ({cursor: book.cursor, items: book.told}), saved});
await saver.save();
```
*/
export class ListSaver<Item> {
	readonly #options: ListSaverOptions<Item>;
	#savedCursor = 0;
	#isWanted = false;
	#saving: Promise<void> | undefined;

	constructor(options: ListSaverOptions<Item>) {
		this.#options = options;
	}

	/** The number of the last change that the disk holds. */
	get savedCursor(): number {
		return this.#savedCursor;
	}

	/**
	Saves the list, and waits for the disk no longer than a bound.

	@param milliseconds The bound.
	@returns Whether the disk holds all changes up to the call.
	*/
	async saveWithin(milliseconds: number): Promise<boolean> {
		const {cursor} = this.#options.current();
		await Promise.race([this.save(), setTimeout(milliseconds)]);
		return this.#savedCursor >= cursor;
	}

	/** Saves the list where it changed since the last save, and resolves once that is over; what the disk does not take is tried again with the next call. */
	async save(): Promise<void> {
		this.#isWanted = true;
		this.#saving ??= this.#saveWanted();
		await this.#saving;
	}

	async #saveWanted(): Promise<void> {
		while (this.#isWanted) {
			this.#isWanted = false;
			await this.#saveOnce();
		}

		this.#saving = undefined;
	}

	async #saveOnce(): Promise<void> {
		const {current, saved} = this.#options;
		const {cursor, items} = current();
		if (cursor !== this.#savedCursor && await saved.write(items)) {
			this.#savedCursor = cursor;
		}
	}
}
