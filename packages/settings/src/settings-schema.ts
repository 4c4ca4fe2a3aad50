import {defaultControlLimits} from '@valehitch/control';
import {toId, type InstanceId, type ZoneId} from '@valehitch/core';
import * as z from 'zod';
import {type Settings} from './settings.js';

const longestHost = 255;
const longestFolder = 4096;
const shortestSecret = 16;
const longestSecret = 1024;
const largestPort = 65_535;
const mostDigests = 64;
const mostSessionKeys = 16;

type Bounds = {readonly from: number; readonly to: number};

function wholeNumber({from, to}: Bounds): z.ZodInt {
	const error = `Wanted a whole number from ${from} to ${to}`;
	return z.int(error).min(from, error).max(to, error);
}

function text({from, to}: Bounds): z.ZodString {
	const error = `Wanted a text of ${from} to ${to} characters`;
	return z.string(error).min(from, error).max(to, error);
}

const nameError = 'Wanted 1 to 64 of a to z, 0 to 9, dot, dash and underscore, starting with a letter or digit';
const name = z.string(nameError).regex(/^[a-z\d][a-z\d._\-]{0,63}$/v, nameError);
const instance = name.transform(value => toId<InstanceId>(value));
const zone = name.transform(value => toId<ZoneId>(value));
const digestError = 'Wanted a SHA-256 digest of 64 hexadecimal digits in lower case';
const digests = z.array(z.string(digestError).regex(/^[a-f\d]{64}$/v, digestError)).max(mostDigests).default([]);
const host = text({from: 1, to: longestHost});
const port = wholeNumber({from: 0, to: largestPort});
const secret = text({from: shortestSecret, to: longestSecret});
const address = z.strictObject({host, port});
const prefixError = 'Wanted 1 to 64 of letters, digits, dot, dash and underscore';

const keys = z.strictObject({
	operators: digests,
	backends: digests,
	peers: secret,
	sessions: z.array(z.strictObject({id: name, key: secret})).min(1).max(mostSessionKeys),
});

const limits = z.strictObject({
	bodyBytes: wholeNumber({from: 1024, to: 104_857_600}).default(4_194_304),
	headerBytes: wholeNumber({from: 1024, to: 1_048_576}).default(16_384),
});

const timing = z.strictObject({
	announcementRenewMilliseconds: wholeNumber({from: 50, to: 60_000}).default(1000),
	configurationLeaseMilliseconds: wholeNumber({from: 100, to: 600_000}).default(5000),
	shutdownMilliseconds: wholeNumber({from: 0, to: 3_600_000}).default(30_000),
	stallMilliseconds: wholeNumber({from: 50, to: 3_600_000}).default(10_000),
});

const controlLog = z.strictObject({
	snapshotEntries: wholeNumber({from: 100, to: 10_000_000}).default(10_000),
	snapshotBytes: wholeNumber({from: 65_536, to: 1_073_741_824}).default(8_388_608),
	segmentBytes: wholeNumber({from: 4096, to: 1_073_741_824}).default(4_194_304),
	firstArchivedBill: wholeNumber({from: 1, to: Number.MAX_SAFE_INTEGER}).default(1),
});

const longestMilliseconds = 31_622_400_000;

const controlLimits = z.strictObject({
	changeIds: wholeNumber({from: 1, to: 1_000_000}).default(defaultControlLimits.changeIds),
	changeIdMilliseconds: wholeNumber({from: 1000, to: longestMilliseconds}).default(defaultControlLimits.changeIdMilliseconds),
	claimsPerWorkspace: wholeNumber({from: 1, to: 1_000_000}).default(defaultControlLimits.claimsPerWorkspace),
	claimMilliseconds: wholeNumber({from: 1000, to: longestMilliseconds}).default(defaultControlLimits.claimMilliseconds),
	claimMinimumMilliseconds: wholeNumber({from: 1000, to: longestMilliseconds}).default(defaultControlLimits.claimMinimumMilliseconds),
	claimOpenMilliseconds: wholeNumber({from: 1000, to: longestMilliseconds}).default(defaultControlLimits.claimOpenMilliseconds),
	keptAnswerBytes: wholeNumber({from: 0, to: 1_048_576}).default(defaultControlLimits.keptAnswerBytes),
	keptAnswerBytesPerWorkspace: wholeNumber({from: 0, to: 1_073_741_824}).default(defaultControlLimits.keptAnswerBytesPerWorkspace),
	recentBills: wholeNumber({from: 1, to: 1_000_000}).default(defaultControlLimits.recentBills),
	billWindow: wholeNumber({from: 1, to: 10_000_000}).default(defaultControlLimits.billWindow),
	originMilliseconds: wholeNumber({from: 60_000, to: longestMilliseconds}).default(defaultControlLimits.originMilliseconds),
	openOrdersPerServer: wholeNumber({from: 1, to: 10_000}).default(defaultControlLimits.openOrdersPerServer),
	completedOrders: wholeNumber({from: 1, to: 1_000_000}).default(defaultControlLimits.completedOrders),
});

const metrics = z.strictObject({
	host,
	port: wholeNumber({from: 1, to: largestPort}),
	prefix: z.string(prefixError).regex(/^[\w.\-]{1,64}$/v, prefixError).default('valehitch'),
});

type BadVersionDefaults = {readonly tolerance: number; readonly horizon: number};

function numberFrom({from, to}: Bounds): z.ZodNumber {
	const error = `Wanted a number from ${from} to ${to}`;
	return z.number(error).min(from, error).max(to, error);
}

function badVersion({tolerance, horizon}: BadVersionDefaults) {
	return z.strictObject({
		tolerance: numberFrom({from: 0.001, to: 1}).default(tolerance),
		falseAlarmShare: numberFrom({from: 0.000_001, to: 0.5}).default(0.05),
		horizon: wholeNumber({from: 10, to: 1_000_000_000}).default(horizon),
	});
}

const badVersions = z.strictObject({
	ratings: badVersion({tolerance: 0.05, horizon: 1000}).prefault({}),
	failures: badVersion({tolerance: 0.03, horizon: 100_000}).prefault({}),
});

/** The schema of the daemon's settings file; unknown keys are refused. `parseSettings` adds the checks over several fields. */
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
	dataFolder: text({from: 1, to: longestFolder}).optional(),
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
