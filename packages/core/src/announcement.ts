import * as z from 'zod';
import {typedSchema} from './typed-schema.js';
import {
	type ModelId, type ServerId, type ServiceId, type VersionId, type ZoneId,
} from './ids.js';

/** A version of a model that a model engine has loaded. */
export type LoadedVersion = {
	readonly model: ModelId;
	readonly version: VersionId;
};

/** The state that a backend server reports about itself, when it registers and at every renewal. */
export type Announcement = {
	readonly server: ServerId;
	readonly zone: ZoneId;
	readonly kind: 'engine' | 'service';
	/** The base URL, such as `http://127.0.0.1:9001`. */
	readonly address: string;
	/** The versions that a model engine has loaded. */
	readonly models: readonly LoadedVersion[];
	/** The name of a plain service. */
	readonly service?: ServiceId | undefined;
	/** The maximum number of concurrent requests. */
	readonly capacity: number;
	/** The number of requests in progress, as counted by the server. */
	readonly active: number;
	/** Whether the server rejects orders with an outdated fencing number. */
	readonly checksFencing: boolean;
	/** Whether the server is shutting down gracefully and accepts no new work. */
	readonly shuttingDown: boolean;
	/** The sequence number within one start of the server, which identifies delayed announcements. */
	readonly sequence: number;
	/** When the server started, as Unix time in milliseconds. A later start supersedes an earlier one. */
	readonly startedAt: number;
};

const name = z.string().min(1).max(128);

/** The schema of an announcement. Unknown fields are rejected. */
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
