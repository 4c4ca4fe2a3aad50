import {findCutViolations} from './find-cut-violations.js';
import {findNoticeViolations} from './find-notice-violations.js';
import {isDisturbed} from './is-disturbed.js';
import {type SoakRecord, completeResponse, requestBody} from './soak-record.js';

/** The time limits that the settings of the deployment guarantee, in milliseconds. */
export type GuaranteeLimits = {
	/** From the acknowledgement that a key was revoked until it no longer works. */
	readonly revocation: number;
	/** From the acknowledgement that a server shuts down until the last request runs on it. */
	readonly shutdown: number;
	/** From the acknowledgement of a configuration until the last read of an older one. */
	readonly configuration: number;
	/** From the acknowledgement of an evacuation until the last request runs in its zone. */
	readonly evacuation: number;
};

const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const successStatus = 200;

/**
Checks the guarantees of a deployment against what callers, backend servers and operators observed during a soak.

@param record The observations.
@param limits The time limits.
@returns A line for each violation.
@example
```ts
findViolations(record, {revocation: 5000, shutdown: 2500, configuration: 2000, evacuation: 5000});
```
*/
export function findViolations(record: SoakRecord, limits: GuaranteeLimits): readonly string[] {
	return [
		...findRunViolations(record),
		...findForeignRuns(record),
		...findResponseViolations(record),
		...findRevocationViolations(record, limits),
		...findShutdownViolations(record, limits),
		...findEvacuationViolations(record, limits),
		...findNoticeViolations(record),
		...findCutViolations(record),
		...findConfigurationViolations(record, limits),
		...findRecoveryViolations(record),
	];
}

/** An unsafe request is executed at most once, and not at all if it was refused with a status that excludes an execution. */
function findRunViolations({requests, runs}: SoakRecord): readonly string[] {
	const runCounts = new Map<string, number>();
	for (const {id} of runs) {
		runCounts.set(id, (runCounts.get(id) ?? 0) + 1);
	}

	const violations: string[] = [];
	for (const {id, kind, status, entry} of requests) {
		const count = runCounts.get(id) ?? 0;
		if (kind === 'unsafe' && count > 1) {
			violations.push(`at most once: ${id} ran ${count} times (${entry})`);
		}

		if (kind === 'unsafe' && count > 0 && notRunStatuses.has(status)) {
			violations.push(`not run: ${id} was refused with ${status} and ran (${entry})`);
		}
	}

	return violations;
}

/** Each run is that of a request that was sent, with its body. */
function findForeignRuns({requests, runs}: SoakRecord): readonly string[] {
	const sentIds = new Set(requests.map(({id}) => id));
	const violations: string[] = [];
	for (const {id, server, body} of runs) {
		if (!sentIds.has(id)) {
			violations.push(`sent requests: ${id} ran at ${server} and was not sent`);
		} else if (body !== undefined && body !== JSON.stringify(requestBody(id))) {
			violations.push(`bodies: ${id} ran at ${server} with ${JSON.stringify(body.slice(0, 120))}`);
		}
	}

	return violations;
}

/** A complete response with status 200 is the expected response to this very request, and an incomplete one a prefix of it. */
function findResponseViolations({requests}: SoakRecord): readonly string[] {
	const violations: string[] = [];
	for (const {id, kind, status, text, isComplete, entry} of requests) {
		const expected = completeResponse(id, kind);
		if (status !== successStatus) {
			continue;
		}

		if (isComplete && text !== expected) {
			violations.push(`complete responses: ${id} got ${JSON.stringify(text.slice(0, 120))} as complete (${entry})`);
		} else if (!isComplete && !expected.startsWith(text)) {
			violations.push(`matching responses: ${id} got ${JSON.stringify(text.slice(0, 120))} (${entry})`);
		}
	}

	return violations;
}

function findRevocationViolations({requests, runs, revocations}: SoakRecord, {revocation}: GuaranteeLimits): readonly string[] {
	const executedIds = new Set(runs.map(({id}) => id));
	const violations: string[] = [];
	for (const {key, acknowledgedAt} of revocations) {
		for (const request of requests) {
			if (request.key === key && request.sentAt > acknowledgedAt + revocation && executedIds.has(request.id)) {
				violations.push(`revoked keys: ${request.id} ran with ${key}, sent ${Math.round(request.sentAt - acknowledgedAt)} ms after the acknowledgement (${request.entry})`);
			}
		}
	}

	return violations;
}

/** A partitioned instance can't receive an announcement of a shutdown, so a run is a violation only if both instances were reachable from before the acknowledgement until the run. */
function findShutdownViolations({requests, runs, shutdowns, disturbances}: SoakRecord, {shutdown}: GuaranteeLimits): readonly string[] {
	const entryByRequest = new Map(requests.map(({id, entry}) => [id, entry]));
	const violations: string[] = [];
	for (const {server, acknowledgedAt, control} of shutdowns) {
		for (const run of runs) {
			const interval = {from: acknowledgedAt, to: run.at};
			const wasReachable = !isDisturbed(disturbances, {address: control, ...interval}) && !isDisturbed(disturbances, {address: entryByRequest.get(run.id) ?? '', ...interval});
			if (run.server === server && run.at > acknowledgedAt + shutdown && wasReachable) {
				violations.push(`shutdown of servers: ${run.id} ran at ${server} ${Math.round(run.at - acknowledgedAt)} ms after its acknowledgement`);
			}
		}
	}

	return violations;
}

function findEvacuationViolations({requests, runs, evacuations, disturbances}: SoakRecord, {evacuation}: GuaranteeLimits): readonly string[] {
	const entryByRequest = new Map(requests.map(({id, entry}) => [id, entry]));
	const violations: string[] = [];
	for (const {zone, acknowledgedAt, endOrderedAt = Number.POSITIVE_INFINITY} of evacuations) {
		for (const run of runs) {
			const isEvacuated = run.zone === zone && run.at > acknowledgedAt + evacuation && run.at < endOrderedAt;
			if (isEvacuated && !isDisturbed(disturbances, {address: entryByRequest.get(run.id) ?? '', from: acknowledgedAt, to: run.at})) {
				violations.push(`evacuated zones: ${run.id} ran at ${run.server} in ${zone} ${Math.round(run.at - acknowledgedAt)} ms after the acknowledgement`);
			}
		}
	}

	return violations;
}

/** No read returns an older version than one acknowledged more than the limit before, and the final version is no older than the newest acknowledged one. */
function findConfigurationViolations({reads, configurations, finalVersion}: SoakRecord, {configuration}: GuaranteeLimits): readonly string[] {
	const violations: string[] = [];
	for (const {version, askedAt, control} of reads) {
		const newest = newestVersion(configurations.filter(({acknowledgedAt}) => acknowledgedAt + configuration < askedAt));
		if (version < newest) {
			violations.push(`configuration: ${control} returned version ${version} after ${newest} was acknowledged`);
		}
	}

	const newest = newestVersion(configurations);
	if (finalVersion === undefined || finalVersion < newest) {
		violations.push(`configuration: version ${finalVersion ?? 'none'} at the end, ${newest} was acknowledged`);
	}

	return violations;
}

function findRecoveryViolations({unrecovered, unexpectedExits}: SoakRecord): readonly string[] {
	return [
		...unrecovered.map(entry => `recovery: ${entry} did not serve again`),
		...unexpectedExits.map(exit => `processes: ${exit}`),
	];
}

function newestVersion(configurations: ReadonlyArray<{readonly version: number}>): number {
	return Math.max(0, ...configurations.map(({version}) => version));
}
