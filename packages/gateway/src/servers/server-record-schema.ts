import {
	type ServerId, type ServiceId, toId, type VersionId, type ZoneId,
} from '@valehitch/core';
import * as z from 'zod';
import {type ServerRecord} from './server-record.js';

/** The schema of a saved server record. */
export const serverRecordSchema: z.ZodType<ServerRecord> = z.object({
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
	coldRemaining: z.number().optional(),
	isSilent: z.boolean(),
});
