import {
	type Failure, type ServerId, type ServiceId, toId, type VersionId, type ZoneId,
} from '@valehitch/core';
import {type ServerRecord} from '@valehitch/gateway';
import {parseJsonBody} from '@valehitch/transport';
import {type Either} from 'purify-ts';
import * as z from 'zod';
import {decodeServerId} from './decode-server-id.js';

const highestPort = 65_535;

// Anything may write to this address. What does not fit names no server, so no field has a default.
const announcementSchema = z.object({
	service: z.string().min(1),
	address: z.string().regex(/^[^\s:]+:\d{1,5}$/v, 'Wanted a host and a port').refine(isPortInRange, 'Wanted a port from 1 to 65535'),
	zone: z.string().min(1),
	version: z.string().min(1),
	slots: z.int().positive(),
	state: z.enum(['ready', 'draining']),
	// Counts the announcements of one process of the server, not those of all servers.
	seq: z.int().nonnegative(),
	// When the process of the server started; not all deployments say it.
	born: z.int().positive().optional(),
});

/**
Reads the heartbeat of a backend server.

@param server The id in the path.
@param bytes The body.
@returns The record, or `malformed-request` with the first problem and its place.
@example
```ts
decodeAnnouncement('i-7f3a91c2', body);
```
*/
export function decodeAnnouncement(server: string, bytes: Uint8Array): Either<Failure, ServerRecord> {
	const id = decodeServerId(server);
	return id.chain(known => parseJsonBody({bytes, schema: announcementSchema}).map(announcement => recordOf(known, announcement)));
}

function recordOf(id: ServerId, {address, seq, born, ...announced}: z.output<typeof announcementSchema>): ServerRecord {
	return {
		id,
		service: toId<ServiceId>(announced.service),
		host: hostOf(address),
		port: portOf(address),
		zone: toId<ZoneId>(announced.zone),
		version: toId<VersionId>(announced.version),
		slots: announced.slots,
		state: announced.state,
		startedAt: born,
		sequence: seq,
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
