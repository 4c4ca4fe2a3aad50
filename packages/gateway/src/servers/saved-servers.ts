import {Buffer} from 'node:buffer';
import {
	type ServerId, type ServiceId, toId, type VersionId, type ZoneId,
} from '@valehitch/core';
import {type SmallFile} from '@valehitch/storage';
import * as z from 'zod';
import {type DecisionLog} from '../logs/decision-log.js';
import {type ServerRecord} from './server-record.js';

/** Where the directory is saved; what could not be read or written is logged there, since servers announce themselves anyway. */
export type SavedServers = {
	/** The records of the run before; none where there are none. */
	readonly read: () => Promise<readonly ServerRecord[]>;
	/** Writes all records; tells whether the disk took them. */
	readonly write: (records: readonly ServerRecord[]) => Promise<boolean>;
};

/** What the saving of servers needs. */
export type SaveServersOptions = {
	readonly file: Pick<SmallFile, 'read' | 'replace'>;
	readonly log: DecisionLog;
};

const recordsSchema = z.array(z.object({
	id: z.string().transform(value => toId<ServerId>(value)),
	service: z.string().transform(value => toId<ServiceId>(value)),
	host: z.string(),
	port: z.int(),
	zone: z.string().transform(value => toId<ZoneId>(value)),
	version: z.string().transform(value => toId<VersionId>(value)),
	slots: z.number(),
	state: z.enum(['ready', 'draining', 'gone']),
	startedAt: z.int().optional(),
	sequence: z.int(),
	isSilent: z.boolean(),
}));

/**
Saves the directory of backend servers in a file; a file that cannot be read or does not fit is passed over with a log line, since all servers announce themselves again.

@param options The file and the log.
@returns How servers are read and written.
@example
```ts
const saved = saveServers({file: new SmallFile('data/servers.json'), log});
```
*/
export function saveServers({file, log}: SaveServersOptions): SavedServers {
	return {
		async read() {
			const read = await file.read();
			return read.caseOf({
				Left({message}) {
					log('servers-not-restored', {reason: message}, 'warn');
					return [];
				},
				Right: bytes => bytes === undefined ? [] : parseRecords(bytes, log),
			});
		},
		async write(records) {
			const written = await file.replace(Buffer.from(JSON.stringify(records)));
			written.ifLeft(({message}) => {
				log('servers-not-saved', {reason: message, servers: records.length}, 'warn');
			});
			return written.isRight();
		},
	};
}

function parseRecords(bytes: Uint8Array, log: DecisionLog): readonly ServerRecord[] {
	try {
		return recordsSchema.parse(JSON.parse(Buffer.from(bytes).toString()));
	} catch (error) {
		log('servers-not-restored', {reason: error instanceof Error ? error.message : String(error)}, 'warn');
		return [];
	}
}
