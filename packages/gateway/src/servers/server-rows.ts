import {
	type ServerId, type ServiceId, type VersionId, type ZoneId,
} from '@valehitch/core';
import {Packr} from 'msgpackr';
import {type ServerRecord, type ServerState} from './server-record.js';

/** A record without the names of its fields. Further fields may follow in later versions. */
type ServerRow = readonly [
	id: ServerId, service: ServiceId, host: string, port: number, zone: ZoneId, version: VersionId, slots: number,
	state: ServerState, startedAt: number | undefined, sequence: number, isSilent: boolean,
];

const packr = new Packr({useRecords: false});

/**
Encodes the records of servers, in well under half the size of a list of records. How long servers stay cold is left out.

@param records The records.
@returns The bytes.
@example
```ts
decodeServerRows(encodeServerRows(records));
```
*/
export function encodeServerRows(records: readonly ServerRecord[]): Uint8Array {
	// The buffer of the encoder is used again.
	return Uint8Array.from(packr.pack(records.map(record => toRow(record))));
}

/** The servers of a message: records, and further ones as encoded rows. */
export type ListedServers = {
	readonly records: readonly ServerRecord[];
	readonly serverRows?: Uint8Array | undefined;
};

/**
Returns the servers that a message lists.

@param message The message.
@returns The records; those that were not encoded come last, since they override the others.
@example
```ts
listedServers(reply);
```
*/
export function listedServers({records, serverRows}: ListedServers): readonly ServerRecord[] {
	return serverRows === undefined ? records : [...decodeServerRows(serverRows), ...records];
}

/**
Decodes the records of servers.

@param bytes The result of {@linkcode encodeServerRows}.
@returns The records.
*/
export function decodeServerRows(bytes: Uint8Array): readonly ServerRecord[] {
	const rows = packr.unpack(bytes) as readonly ServerRow[];
	return rows.map(row => toRecord(row));
}

function toRow({id, service, host, port, zone, version, slots, state, startedAt, sequence, isSilent}: ServerRecord): ServerRow {
	return [id, service, host, port, zone, version, slots, state, startedAt, sequence, isSilent];
}

function toRecord([id, service, host, port, zone, version, slots, state, startedAt, sequence, isSilent]: ServerRow): ServerRecord {
	return {
		id, service, host, port, zone, version, slots, state, startedAt, sequence, isSilent,
	};
}
