import {
	type InstanceId, toId, type ZoneId,
} from '@valehitch/core';
import {type ListenAddress} from '@valehitch/gateway';
import {type DocumentProblem, parseDocument} from '@valehitch/settings';
import {type Either} from 'purify-ts';
import * as z from 'zod';

/** What a process is told by the platform, in the words of the product. */
export type PlatformSettings = {
	/** The platform's name of the process, for logs. */
	readonly name: string;
	/** This instance; its address serves as its name, since nothing else is known of the others. */
	readonly instance: InstanceId;
	readonly zone: ZoneId;
	/** Where callers connect; undefined on control instances. */
	readonly callers: ListenAddress | undefined;
	/** Where the balancer asks for readiness; undefined on control instances. */
	readonly readiness: ListenAddress | undefined;
	/** Where backend servers and operators connect; undefined on entry instances. */
	readonly control: ListenAddress | undefined;
	/** Where the other instances connect; the port is the same on all. */
	readonly peers: ListenAddress;
	/** The control instances that were known when the file was written. */
	readonly seeds: readonly InstanceId[];
	/** Whether the whole system starts for the first time. */
	readonly isFounding: boolean;
	readonly dataFolder: string | undefined;
	/** The time between two announcements of a backend server, in milliseconds. */
	readonly heartbeat: number;
	/** The time that a stop may take, in milliseconds. */
	readonly grace: number;
	/** The time after which a key that was taken away must not work any more, in milliseconds. */
	readonly revocation: number;
	/** The share of a service's requests that a version on trial may get. */
	readonly canaryShare: number;
	/** The further sends for each request, over all instances. */
	readonly retryShare: number;
	/** The time over which further sends are counted, in milliseconds. */
	readonly retryWindow: number;
	/** The time without a request after which a session has ended, in milliseconds. */
	readonly sessionTimeout: number;
};

/** The platform writes `null` where a process has no such value. */
function optional(schema: z.ZodType<string>) {
	return schema.nullish().transform(value => value ?? undefined);
}

const address = z.string().regex(/^\d+\.\d+\.\d+\.\d+:\d+$/v, 'Wanted an address such as 10.1.0.40:8227');

const fileSchema = z.object({
	node: z.string(),
	ip: z.string(),
	zone: z.string(),
	listen: z.object({front: optional(address), ready: optional(address), control: optional(address)}),
	portRange: z.tuple([z.int(), z.int()]),
	seeds: z.array(address),
	bootstrap: z.boolean().default(false),
	dataDir: optional(z.string()),
	heartbeatMs: z.number().positive(),
	bounds: z.object({
		graceS: z.number().positive(),
		revokeMs: z.number().positive().default(5000),
		canaryShare: z.number().positive().default(0.1),
		retryBudgetRatio: z.number().nonnegative().default(0.2),
		retryWindowS: z.number().positive().default(10),
		sessionS: z.number().positive().default(5),
	}),
});

const millisecondsPerSecond = 1000;

/**
Parses the settings file that the platform writes; fields that are not known are passed over.

@param text The text of the file.
@param file The file's name for problems.
@returns The settings, or every problem found, each with its line.
@example
```ts
parsePlatformSettings(await readFile(file, 'utf8'), file);
```
*/
export function parsePlatformSettings(text: string, file: string): Either<readonly DocumentProblem[], PlatformSettings> {
	return parseDocument(text, {file, schema: fileSchema}).map(values => toSettings(values));
}

function toSettings({node, ip, zone, listen, portRange, seeds, bootstrap, dataDir, heartbeatMs, bounds}: z.output<typeof fileSchema>): PlatformSettings {
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
		heartbeat: heartbeatMs,
		grace: bounds.graceS * millisecondsPerSecond,
		revocation: bounds.revokeMs,
		canaryShare: bounds.canaryShare,
		retryShare: bounds.retryBudgetRatio,
		retryWindow: bounds.retryWindowS * millisecondsPerSecond,
		sessionTimeout: bounds.sessionS * millisecondsPerSecond,
	};
}

function toAddress(text: string | undefined): ListenAddress | undefined {
	return text === undefined ? undefined : {host: hostOf(text), port: Number(text.slice(text.indexOf(':') + 1))};
}

function hostOf(text: string): string {
	return text.slice(0, text.indexOf(':'));
}
