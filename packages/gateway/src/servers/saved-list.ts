import {Buffer} from 'node:buffer';
import {type SmallFile} from '@valehitch/storage';
import * as z from 'zod';
import {type DecisionLog} from '../logs/decision-log.js';

/** Where a list is saved for the next run; what could not be read or written is logged there, since it can be learned again. */
export type SavedList<Item> = {
	/** The items of the run before; none where there are none. */
	readonly read: () => Promise<readonly Item[]>;
	/** Writes all items; tells whether the disk took them. */
	readonly write: (items: readonly Item[]) => Promise<boolean>;
};

/** What the saving of a list needs. */
export type SaveListOptions<Item> = {
	/** What the log calls the list. */
	readonly list: string;
	readonly file: Pick<SmallFile, 'read' | 'replace'>;
	readonly log: DecisionLog;
	readonly schema: z.ZodType<Item>;
};

/**
Saves a list in a file; a file that cannot be read or does not fit is passed over with a log line.

@param options The list, the file and the log.
@returns How items are read and written.
@example
```ts
const saved = saveList({list: 'servers', file: new SmallFile('data/servers.json'), log, schema: serverRecordSchema});
```
*/
export function saveList<Item>({list, file, log, schema}: SaveListOptions<Item>): SavedList<Item> {
	const passOver = (reason: string): readonly Item[] => {
		log('list-not-restored', {list, reason}, 'warn');
		return [];
	};

	const parse = (bytes: Uint8Array): readonly Item[] => {
		try {
			return z.array(schema).parse(JSON.parse(Buffer.from(bytes).toString()));
		} catch (error) {
			return passOver(error instanceof Error ? error.message : String(error));
		}
	};

	return {
		async read() {
			const read = await file.read();
			return read.caseOf({
				Left: ({message}) => passOver(message),
				Right: bytes => bytes === undefined ? [] : parse(bytes),
			});
		},
		async write(items) {
			const written = await file.replace(Buffer.from(JSON.stringify(items)));
			written.ifLeft(({message}) => {
				log('list-not-saved', {list, reason: message, items: items.length}, 'warn');
			});
			return written.isRight();
		},
	};
}
