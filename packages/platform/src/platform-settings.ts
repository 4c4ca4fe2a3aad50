import {
	type InstanceId, toId, type ZoneId,
} from '@valehitch/core';
import {type ColdTolerance, type ListenAddress} from '@valehitch/gateway';
import {type DocumentProblem, parseDocument} from '@valehitch/settings';
import {type Either} from 'purify-ts';
import * as z from 'zod';

/** The settings that the platform gives to a process. */
export type PlatformSettings = {
	/** The platform's name for the process, used in logs. */
	readonly name: string;
	/** The id of this instance. It is the IP address, because only the addresses of the other instances are known. */
	readonly instance: InstanceId;
	readonly zone: ZoneId;
	/** The address for callers; undefined on control instances. */
	readonly callers: ListenAddress | undefined;
	/** The address of the readiness check for the load balancer; undefined on control instances. */
	readonly readiness: ListenAddress | undefined;
	/** The address for backend servers and operators; undefined on entry instances. */
	readonly control: ListenAddress | undefined;
	/** The address for other instances; the port is the same on all of them. */
	readonly peers: ListenAddress;
	/** The control instances known when the file was written. */
	readonly seeds: readonly InstanceId[];
	/** Whether the deployment starts for the first time. */
	readonly isFounding: boolean;
	readonly dataFolder: string | undefined;
	/** The interval between announcements of a backend server, in milliseconds. */
	readonly heartbeatInterval: number;
	/** The maximum duration of a shutdown, in milliseconds. */
	readonly gracePeriod: number;
	/** The time after which a revoked API key must no longer be accepted, in milliseconds. */
	readonly revocationTimeout: number;
	/** The time after which a new configuration must be in force, in milliseconds. */
	readonly configurationTimeout: number;
	/** The time after which a backend server that shuts down must no longer get requests, in milliseconds. */
	readonly drainTimeout: number;
	/** The maximum share of a service's requests that a canary version may receive. */
	readonly canaryShare: number;
	/** The retry budget over all instances, as a ratio of retries to requests. */
	readonly retryRatio: number;
	/** The time window over which the retry budget applies, in milliseconds. */
	readonly retryWindow: number;
	/** How many machines of the control role may be lost at the same time. */
	readonly toleratedLosses: number;
	/** The availability zones of the deployment. */
	readonly zones: readonly ZoneId[];
	/** How far the rate of a cold server may exceed the one that its service configures. */
	readonly coldTolerance: ColdTolerance;
	/** The bytes that an entry instance may hold for its requests; undefined for no limit. */
	readonly heldBytes: number | undefined;
	/** The share of the sends for which an entry instance notes why they went where they went, from 0 to 1. */
	readonly notedShare: number;
	/** The idle time after which a session ends, in milliseconds. */
	readonly sessionTimeout: number;
};

/** Accepts `null`, which the platform writes if a process has no such value. */
function optional(schema: z.ZodType<string>) {
	return schema.nullish().transform(value => value ?? undefined);
}

// The settings package removes the prefix "Wanted " and states the rest as the expected value.
const address = z.string().regex(/^\d+\.\d+\.\d+\.\d+:\d+$/v, 'Wanted an address such as 10.1.0.40:8227');

/** The share of the memory that is held for requests at most by default; the program itself and the engine's own buffers need the rest. */
const defaultHeldShare = 0.25;
const bytesPerMegabyte = 1_048_576;

const fileSchema = z.object({
	node: z.string(),
	ip: z.string(),
	zone: z.string(),
	// The region of each availability zone.
	zones: z.record(z.string(), z.string()).default({}),
	listen: z.object({front: optional(address), ready: optional(address), control: optional(address)}),
	portRange: z.tuple([z.int(), z.int()]),
	seeds: z.array(address),
	bootstrap: z.boolean().default(false),
	dataDir: optional(z.string()),
	heartbeatMs: z.number().positive(),
	faultTolerance: z.object({machines: z.int().nonnegative().default(1)}).default({machines: 1}),
	limits: z.object({memoryMb: z.number().positive().nullish(), heldShare: z.number().positive().max(1).default(defaultHeldShare)}).default({heldShare: defaultHeldShare}),
	inspection: z.object({notedShare: z.number().min(0).max(1).default(0.01)}).default({notedShare: 0.01}),
	bounds: z.object({
		graceS: z.number().positive(),
		revokeMs: z.number().positive().default(5000),
		configApplyMs: z.number().positive().default(2000),
		drainMs: z.number().positive().default(2000),
		canaryShare: z.number().positive().default(0.1),
		retryBudgetRatio: z.number().nonnegative().default(0.2),
		retryWindowS: z.number().positive().default(10),
		sessionS: z.number().positive().default(5),
		coldOverage: z.number().positive().default(1),
		coldSlack: z.number().nonnegative().default(0),
	}),
});

const millisecondsPerSecond = 1000;

/**
Parses the settings file written by the platform. Unknown fields are ignored.

@param text The text of the file.
@param file The file name used in problems.
@returns The settings, or all problems found, each with its line.
@example
```ts
parsePlatformSettings(await readFile(file, 'utf8'), file);
```
*/
export function parsePlatformSettings(text: string, file: string): Either<readonly DocumentProblem[], PlatformSettings> {
	return parseDocument(text, {file, schema: fileSchema}).map(values => toSettings(values));
}

function toSettings(values: z.output<typeof fileSchema>): PlatformSettings {
	const {node, ip, zone, zones, listen, portRange, seeds, bootstrap, dataDir, heartbeatMs} = values;
	const {faultTolerance, limits: {memoryMb, heldShare}, inspection, bounds} = values;
	return {
		name: node,
		instance: toId<InstanceId>(ip),
		zone: toId<ZoneId>(zone),
		callers: toAddress(listen.front),
		readiness: toAddress(listen.ready),
		control: toAddress(listen.control),
		peers: {host: ip, port: portRange[0]},
		seeds: seeds.map(seed => toId<InstanceId>(hostOf(seed))),
		isFounding: bootstrap,
		dataFolder: dataDir,
		heartbeatInterval: heartbeatMs,
		gracePeriod: bounds.graceS * millisecondsPerSecond,
		revocationTimeout: bounds.revokeMs,
		configurationTimeout: bounds.configApplyMs,
		drainTimeout: bounds.drainMs,
		canaryShare: bounds.canaryShare,
		retryRatio: bounds.retryBudgetRatio,
		retryWindow: bounds.retryWindowS * millisecondsPerSecond,
		toleratedLosses: faultTolerance.machines,
		zones: Object.keys(zones).map(name => toId<ZoneId>(name)),
		coldTolerance: {factor: bounds.coldOverage, slack: bounds.coldSlack},
		heldBytes: typeof memoryMb === 'number' ? Math.floor(heldShare * memoryMb * bytesPerMegabyte) : undefined,
		notedShare: inspection.notedShare,
		sessionTimeout: bounds.sessionS * millisecondsPerSecond,
	};
}

function toAddress(text: string | undefined): ListenAddress | undefined {
	return text === undefined ? undefined : {host: hostOf(text), port: Number(text.slice(text.indexOf(':') + 1))};
}

function hostOf(text: string): string {
	return text.slice(0, text.indexOf(':'));
}
