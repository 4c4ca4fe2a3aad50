import * as z from 'zod';
import {typedSchema} from './typed-schema.js';
import {
	type ModelId, type ServerId, type ServiceId, type VersionId, type ZoneId,
} from './ids.js';

/** A version of a model that an engine has loaded. */
export type LoadedVersion = {
	readonly model: ModelId;
	readonly version: VersionId;
};

/** What a backend server says of itself, at first and at each renewal. */
export type Announcement = {
	readonly server: ServerId;
	readonly zone: ZoneId;
	readonly kind: 'engine' | 'service';
	/** The base address, such as `http://127.0.0.1:9001`. */
	readonly address: string;
	/** For an engine: the versions it has loaded. */
	readonly models: readonly LoadedVersion[];
	/** For a plain service: its name. */
	readonly service?: ServiceId | undefined;
	/** Requests it works on at the same time. */
	readonly capacity: number;
	/** Requests it works on now, by its own count. */
	readonly active: number;
	/** Whether it refuses an order with an old fencing number. */
	readonly checksFencing: boolean;
	/** Whether it is in graceful shutdown and wants no new work. */
	readonly shuttingDown: boolean;
	/** Numbers the announcements of one start of a server, so that a late one is told from a new one. */
	readonly sequence: number;
	/** When the server started, in milliseconds since 1970; a later start outdates the earlier one. */
	readonly startedAt: number;
};

const name = z.string().min(1).max(128);

/** The schema of an announcement; unknown fields are refused. */
export const announcementSchema: z.ZodType<Announcement> = typedSchema<Announcement>(z.strictObject({
	server: name,
	zone: name,
	kind: z.enum(['engine', 'service']),
	address: z.url({protocol: /^http$/v}),
	models: z.array(z.strictObject({model: name, version: name})).max(256).default([]),
	service: name.optional(),
	capacity: z.int().min(1).max(100_000),
	active: z.int().min(0).default(0),
	checksFencing: z.boolean().default(false),
	shuttingDown: z.boolean().default(false),
	sequence: z.int().min(0),
	startedAt: z.int().min(0),
}));
