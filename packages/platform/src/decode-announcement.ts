import {
	type Failure, type ServerId, type ServiceId, toId, type VersionId, type ZoneId,
} from '@valehitch/core';
import {type ServerRecord} from '@valehitch/gateway';
import {parseJsonBody} from '@valehitch/transport';
import {type Either} from 'purify-ts';
import * as z from 'zod';
import {decodeServerId} from './decode-server-id.js';

const highestPort = 65_535;

// Any client can send requests to this address. An invalid announcement must not create a server, so no field has a default.
const announcementSchema = z.object({
	service: z.string().min(1),
	address: z.string().regex(/^[^\s:]+:\d{1,5}$/v, 'Wanted a host and a port').refine(isPortInRange, 'Expected a port from 1 to 65535'),
	zone: z.string().min(1),
	version: z.string().min(1),
	slots: z.int().positive(),
	state: z.enum(['ready', 'draining']),
	// A sequence number per server process.
	seq: z.int().nonnegative(),
	// How much longer the server is cold, in milliseconds. Not all deployments provide it.
	coldRemainingMs: z.number().nonnegative().optional(),
	// When the server process started. Not all deployments provide it.
	born: z.int().positive().optional(),
});

/**
Decodes the announcement of a backend server.

@param server The server id from the path.
@param bytes The body.
@returns The record, or `malformed-request` with the first problem and the path of the field.
@example
```ts
decodeAnnouncement('i-7f3a91c2', body);
```
*/
export function decodeAnnouncement(server: string, bytes: Uint8Array): Either<Failure, ServerRecord> {
	const id = decodeServerId(server);
	return id.chain(serverId => parseJsonBody({bytes, schema: announcementSchema}).map(announcement => toRecord(serverId, announcement)));
}

function toRecord(id: ServerId, {address, seq, born, coldRemainingMs, ...fields}: z.output<typeof announcementSchema>): ServerRecord {
	return {
		id,
		service: toId<ServiceId>(fields.service),
		host: hostOf(address),
		port: portOf(address),
		zone: toId<ZoneId>(fields.zone),
		version: toId<VersionId>(fields.version),
		slots: fields.slots,
		state: fields.state,
		startedAt: born,
		sequence: seq,
		coldRemaining: coldRemainingMs === 0 ? undefined : coldRemainingMs,
		isSilent: false,
	};
}

function isPortInRange(address: string): boolean {
	const port = portOf(address);
	return port >= 1 && port <= highestPort;
}

function hostOf(address: string): string {
	return address.slice(0, address.lastIndexOf(':'));
}

function portOf(address: string): number {
	return Number(address.slice(address.lastIndexOf(':') + 1));
}
