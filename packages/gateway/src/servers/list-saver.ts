import {setTimeout} from 'node:timers/promises';
import {type SavedList} from './saved-list.js';

/** A version of a list. */
export type ListVersion<Item> = {
	/** The number of the last change. */
	readonly cursor: number;
	readonly items: readonly Item[];
};

/** Options of a list saver. */
export type ListSaverOptions<Item> = {
	/** Returns the current version of the list. */
	readonly current: () => ListVersion<Item>;
	readonly saved: Pick<SavedList<Item>, 'write'>;
};

/**
Saves a list when it has changed, one save at a time; a save requested while another is in progress runs immediately after it.

@example
```ts
const saver = new ListSaver({current: () => ({cursor: directory.cursor, items: directory.records}), saved});
await saver.save();
```
*/
export class ListSaver<Item> {
	readonly #options: ListSaverOptions<Item>;
	#savedCursor = 0;
	#isRequested = false;
	#saving: Promise<void> | undefined;

	constructor(options: ListSaverOptions<Item>) {
		this.#options = options;
	}

	/** The number of the last change that is saved to disk. */
	get savedCursor(): number {
		return this.#savedCursor;
	}

	/**
	Saves the list, and waits for the disk for a limited time.

	@param milliseconds The time limit.
	@returns Whether all changes before the call are saved.
	*/
	async saveWithin(milliseconds: number): Promise<boolean> {
		const {cursor} = this.#options.current();
		await Promise.race([this.save(), setTimeout(milliseconds)]);
		return this.#savedCursor >= cursor;
	}

	/** Saves the list if it has changed since the last successful save; a failed save is retried by the next call. */
	async save(): Promise<void> {
		this.#isRequested = true;
		this.#saving ??= this.#saveWhileRequested();
		await this.#saving;
	}

	async #saveWhileRequested(): Promise<void> {
		while (this.#isRequested) {
			this.#isRequested = false;
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
