import {Buffer} from 'node:buffer';
import {type AtomicFile} from '@valehitch/storage';
import * as z from 'zod';
import {type DecisionLog} from '../logs/decision-log.js';

/** A list that is saved for the next run. Read and write failures are only logged, because the items can be obtained again from other instances. */
export type SavedList<Item> = {
	/** Reads the items that the previous run saved; resolves to an empty list if there are none or they cannot be read. */
	readonly read: () => Promise<readonly Item[]>;
	/** Writes all items; resolves to whether the write succeeded. */
	readonly write: (items: readonly Item[]) => Promise<boolean>;
};

/** Options of a saved list. */
export type SavedListOptions<Item> = {
	/** The name of the list in log lines. */
	readonly list: string;
	readonly file: Pick<AtomicFile, 'read' | 'replace'>;
	readonly log: DecisionLog;
	readonly schema: z.ZodType<Item>;
};

/**
Creates a saved list that is stored in a file. A file that cannot be read or does not match the schema is logged and treated as empty.

@param options The list, the file and the log.
@returns The saved list.
@example
```ts
const saved = createSavedList({list: 'servers', file: new AtomicFile('data/servers.json'), log, schema: serverRecordSchema});
```
*/
export function createSavedList<Item>({list, file, log, schema}: SavedListOptions<Item>): SavedList<Item> {
	const reportUnreadable = (reason: string): readonly Item[] => {
		log('list-not-restored', {list, reason}, 'warn');
		return [];
	};

	const parse = (bytes: Uint8Array): readonly Item[] => {
		try {
			return z.array(schema).parse(JSON.parse(Buffer.from(bytes).toString()));
		} catch (error) {
			return reportUnreadable(error instanceof Error ? error.message : String(error));
		}
	};

	return {
		async read() {
			const read = await file.read();
			return read.caseOf({
				Left: ({message}) => reportUnreadable(message),
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
