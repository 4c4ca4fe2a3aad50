import {
	type Failure, type ServerId, type ServiceId, toId, type VersionId, type ZoneId,
} from '@valehitch/core';
import {type ServerRecord} from '@valehitch/gateway';
import {parseJsonBody} from '@valehitch/transport';
import {type Either} from 'purify-ts';
import * as z from 'zod';

const announcementSchema = z.object({
	service: z.string(),
	address: z.string().regex(/^[^:]+:\d+$/v, 'Wanted a host and a port'),
	zone: z.string(),
	version: z.string(),
	slots: z.number().positive().default(1),
	state: z.enum(['ready', 'draining']).default('ready'),
	// Counts the announcements of one server, not those of all.
	seq: z.number().default(0),
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
	return parseJsonBody({bytes, schema: announcementSchema}).map(({service, address, zone, version, slots, state, seq}) => ({
		id: toId<ServerId>(server),
		service: toId<ServiceId>(service),
		host: address.slice(0, address.lastIndexOf(':')),
		port: Number(address.slice(address.lastIndexOf(':') + 1)),
		zone: toId<ZoneId>(zone),
		version: toId<VersionId>(version),
		slots,
		state,
		sequence: seq,
		isSilent: false,
	}));
}
