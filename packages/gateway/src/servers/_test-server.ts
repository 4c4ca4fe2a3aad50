import {
	type ServerId, type ServiceId, toId, type VersionId, type ZoneId,
} from '@valehitch/core';
import {type ServerRecord} from './server-record.js';

/** Creates the record of a backend server for tests. */
export function testServer(changes: Partial<ServerRecord> = {}): ServerRecord {
	return {
		id: toId<ServerId>('server-1'),
		service: toId<ServiceId>('labels'),
		host: '127.0.0.1',
		port: 9,
		zone: toId<ZoneId>('hall-a'),
		version: toId<VersionId>('v1'),
		slots: 8,
		state: 'ready',
		sequence: 1,
		isSilent: false,
		...changes,
	};
}
