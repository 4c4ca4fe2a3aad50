import {defaultControlLimits} from '@valehitch/control';
import {toId, type InstanceId, type ZoneId} from '@valehitch/core';
import * as z from 'zod';
import {type Settings} from './settings.js';

const maximumHostLength = 255;
const maximumFolderLength = 4096;
const minimumSecretLength = 16;
const maximumSecretLength = 1024;
const maximumPort = 65_535;
const maximumDigests = 64;
const maximumSessionKeys = 16;

type Range = {readonly from: number; readonly to: number};

function integerInRange({from, to}: Range): z.ZodInt {
	const error = `Wanted a whole number from ${from} to ${to}`;
	return z.int(error).min(from, error).max(to, error);
}

function stringOfLength({from, to}: Range): z.ZodString {
	const error = `Wanted a string of ${from} to ${to} characters`;
	return z.string(error).min(from, error).max(to, error);
}

const nameError = 'Wanted 1 to 64 of a to z, 0 to 9, dot, dash and underscore, starting with a letter or digit';
const name = z.string(nameError).regex(/^[a-z\d][a-z\d._\-]{0,63}$/v, nameError);
const instance = name.transform(value => toId<InstanceId>(value));
const zone = name.transform(value => toId<ZoneId>(value));
const digestError = 'Wanted a SHA-256 digest of 64 hexadecimal digits in lower case';
const digests = z.array(z.string(digestError).regex(/^[a-f\d]{64}$/v, digestError)).max(maximumDigests).default([]);
const host = stringOfLength({from: 1, to: maximumHostLength});
const port = integerInRange({from: 0, to: maximumPort});
const secret = stringOfLength({from: minimumSecretLength, to: maximumSecretLength});
const address = z.strictObject({host, port});
const prefixError = 'Wanted 1 to 64 of letters, digits, dot, dash and underscore';

const keys = z.strictObject({
	operators: digests,
	backends: digests,
	peers: secret,
	sessions: z.array(z.strictObject({id: name, key: secret})).min(1).max(maximumSessionKeys),
});

const limits = z.strictObject({
	bodyBytes: integerInRange({from: 1024, to: 104_857_600}).default(4_194_304),
	headerBytes: integerInRange({from: 1024, to: 1_048_576}).default(16_384),
});

const timing = z.strictObject({
	announcementRenewMilliseconds: integerInRange({from: 50, to: 60_000}).default(1000),
	configurationLeaseMilliseconds: integerInRange({from: 100, to: 600_000}).default(5000),
	shutdownMilliseconds: integerInRange({from: 0, to: 3_600_000}).default(30_000),
	stallMilliseconds: integerInRange({from: 50, to: 3_600_000}).default(10_000),
});

const controlLog = z.strictObject({
	snapshotEntries: integerInRange({from: 100, to: 10_000_000}).default(10_000),
	snapshotBytes: integerInRange({from: 65_536, to: 1_073_741_824}).default(8_388_608),
	segmentBytes: integerInRange({from: 4096, to: 1_073_741_824}).default(4_194_304),
	firstArchivedBill: integerInRange({from: 1, to: Number.MAX_SAFE_INTEGER}).default(1),
});

const maximumDurationMilliseconds = 31_622_400_000;

const controlLimits = z.strictObject({
	changeIds: integerInRange({from: 1, to: 1_000_000}).default(defaultControlLimits.changeIds),
	changeIdMilliseconds: integerInRange({from: 1000, to: maximumDurationMilliseconds}).default(defaultControlLimits.changeIdMilliseconds),
	claimsPerWorkspace: integerInRange({from: 1, to: 1_000_000}).default(defaultControlLimits.claimsPerWorkspace),
	claimMilliseconds: integerInRange({from: 1000, to: maximumDurationMilliseconds}).default(defaultControlLimits.claimMilliseconds),
	claimMinimumMilliseconds: integerInRange({from: 1000, to: maximumDurationMilliseconds}).default(defaultControlLimits.claimMinimumMilliseconds),
	claimOpenMilliseconds: integerInRange({from: 1000, to: maximumDurationMilliseconds}).default(defaultControlLimits.claimOpenMilliseconds),
	keptAnswerBytes: integerInRange({from: 0, to: 1_048_576}).default(defaultControlLimits.keptAnswerBytes),
	keptAnswerBytesPerWorkspace: integerInRange({from: 0, to: 1_073_741_824}).default(defaultControlLimits.keptAnswerBytesPerWorkspace),
	recentBills: integerInRange({from: 1, to: 1_000_000}).default(defaultControlLimits.recentBills),
	billWindow: integerInRange({from: 1, to: 10_000_000}).default(defaultControlLimits.billWindow),
	originMilliseconds: integerInRange({from: 60_000, to: maximumDurationMilliseconds}).default(defaultControlLimits.originMilliseconds),
	openOrdersPerServer: integerInRange({from: 1, to: 10_000}).default(defaultControlLimits.openOrdersPerServer),
	completedOrders: integerInRange({from: 1, to: 1_000_000}).default(defaultControlLimits.completedOrders),
});

const metrics = z.strictObject({
	host,
	port: integerInRange({from: 1, to: maximumPort}),
	prefix: z.string(prefixError).regex(/^[\w.\-]{1,64}$/v, prefixError).default('valehitch'),
});

type BadVersionDefaults = {readonly tolerance: number; readonly horizon: number};

function numberInRange({from, to}: Range): z.ZodNumber {
	const error = `Wanted a number from ${from} to ${to}`;
	return z.number(error).min(from, error).max(to, error);
}

function badVersion({tolerance, horizon}: BadVersionDefaults) {
	return z.strictObject({
		tolerance: numberInRange({from: 0.001, to: 1}).default(tolerance),
		falseAlarmShare: numberInRange({from: 0.000_001, to: 0.5}).default(0.05),
		horizon: integerInRange({from: 10, to: 1_000_000_000}).default(horizon),
	});
}

const badVersions = z.strictObject({
	ratings: badVersion({tolerance: 0.05, horizon: 1000}).prefault({}),
	failures: badVersion({tolerance: 0.03, horizon: 100_000}).prefault({}),
});

/** The schema of a daemon's settings file; unknown keys are rejected. `parseSettings` adds the checks that span several fields. */
export const settingsSchema: z.ZodType<Settings> = z.strictObject({
	instance,
	region: name,
	zone,
	roles: z.array(z.enum(['entry', 'control'])).min(1),
	listen: z.strictObject({
		callers: address, backends: address, operators: address, peers: address,
	}),
	control: z.array(z.strictObject({
		instance, zone, host, port,
	})),
	dataFolder: stringOfLength({from: 1, to: maximumFolderLength}).optional(),
	controlLog: controlLog.prefault({}),
	controlLimits: controlLimits.prefault({}),
	faults: z.boolean('Wanted true or false').default(false),
	keys,
	limits: limits.prefault({}),
	timing: timing.prefault({}),
	isolation: z.strictObject({serve: z.enum(['settled', 'all', 'none']).default('settled')}).prefault({}),
	badVersions: badVersions.prefault({}),
	logging: z.strictObject({level: z.enum(['trace', 'debug', 'info', 'warn', 'error', 'fatal']).default('info')}).prefault({}),
	metrics: metrics.optional(),
});
