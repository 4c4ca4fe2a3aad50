import {type Disturbance, type SoakRecord, wholeAnswer} from './soak-record.js';

/** The bounds that the settings of the deployment name, in milliseconds. */
export type PromiseBounds = {
	/** From the acknowledgement that a key was taken away to its end. */
	readonly revocation: number;
	/** From the acknowledgement of a shutdown to the last run. */
	readonly shutdown: number;
	/** From the acknowledgement of a configuration to the last read of an older one. */
	readonly configuration: number;
};

const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const successStatus = 200;
/** The time after a disturbance in which an instance catches up, in milliseconds. */
const settleMilliseconds = 3000;

/**
Judges a soak by what callers, backend servers and operators saw.

@param record What was seen.
@param bounds The bounds in time.
@returns A line for each broken promise.
@example
```ts
findBrokenPromises(record, {revocation: 5000, shutdown: 2500, configuration: 2000});
```
*/
export function findBrokenPromises(record: SoakRecord, bounds: PromiseBounds): readonly string[] {
	return [
		...brokenRuns(record),
		...brokenAnswers(record),
		...brokenRevocations(record, bounds),
		...brokenShutdowns(record, bounds),
		...brokenReads(record, bounds),
		...brokenRecovery(record),
	];
}

/** At most once, and a refusal that says not run is true. */
function brokenRuns({requests, runs}: SoakRecord): readonly string[] {
	const counts = new Map<string, number>();
	for (const {id} of runs) {
		counts.set(id, (counts.get(id) ?? 0) + 1);
	}

	const broken: string[] = [];
	for (const {id, kind, status, entry} of requests) {
		const count = counts.get(id) ?? 0;
		if (kind === 'unsafe' && count > 1) {
			broken.push(`at most once: ${id} ran ${count} times (${entry})`);
		}

		if (kind === 'unsafe' && count > 0 && notRunStatuses.has(status)) {
			broken.push(`not run: ${id} was refused with ${status} and ran (${entry})`);
		}
	}

	return broken;
}

/** A success is the whole answer to the request itself. */
function brokenAnswers({requests}: SoakRecord): readonly string[] {
	const broken: string[] = [];
	for (const {id, kind, status, text, isWhole, entry} of requests) {
		const expected = wholeAnswer(id, kind);
		if (status !== successStatus) {
			continue;
		}

		if (isWhole && text !== expected) {
			broken.push(`whole answers: ${id} got ${JSON.stringify(text.slice(0, 120))} as complete (${entry})`);
		} else if (!isWhole && !expected.startsWith(text)) {
			broken.push(`own answers: ${id} got ${JSON.stringify(text.slice(0, 120))} (${entry})`);
		}
	}

	return broken;
}

function brokenRevocations({requests, runs, revocations}: SoakRecord, {revocation}: PromiseBounds): readonly string[] {
	const ran = new Set(runs.map(({id}) => id));
	const broken: string[] = [];
	for (const {key, acknowledgedAt} of revocations) {
		for (const request of requests) {
			if (request.key === key && request.sentAt > acknowledgedAt + revocation && ran.has(request.id)) {
				broken.push(`keys taken away: ${request.id} ran with ${key}, sent ${Math.round(request.sentAt - acknowledgedAt)} ms after the acknowledgement (${request.entry})`);
			}
		}
	}

	return broken;
}

/** An instance that is cut off cannot hear of a shutdown, so those count that were reached from before the acknowledgement until the run. */
function brokenShutdowns({requests, runs, shutdowns, disturbances}: SoakRecord, {shutdown}: PromiseBounds): readonly string[] {
	const entries = new Map(requests.map(({id, entry}) => [id, entry]));
	const broken: string[] = [];
	for (const {server, acknowledgedAt, control} of shutdowns) {
		for (const run of runs) {
			const span = {from: acknowledgedAt, to: run.at};
			const isInTouch = !isDisturbed(disturbances, {address: control, ...span}) && !isDisturbed(disturbances, {address: entries.get(run.id) ?? '', ...span});
			if (run.server === server && run.at > acknowledgedAt + shutdown && isInTouch) {
				broken.push(`shutdown of servers: ${run.id} ran at ${server} ${Math.round(run.at - acknowledgedAt)} ms after its acknowledgement`);
			}
		}
	}

	return broken;
}

type Span = {
	readonly address: string;
	readonly from: number;
	readonly to: number;
};

/** Whether a process was struck in a span, or so shortly before that it may still catch up. */
function isDisturbed(disturbances: readonly Disturbance[], {address, from, to}: Span): boolean {
	return disturbances.some(disturbance => address.startsWith(`${disturbance.ip}:`) && disturbance.from <= to && disturbance.to >= from - settleMilliseconds);
}

/** Nothing older is read after an acknowledgement, and what was acknowledged is there at the end. */
function brokenReads({reads, configurations, finalVersion}: SoakRecord, {configuration}: PromiseBounds): readonly string[] {
	const broken: string[] = [];
	for (const {version, askedAt, control} of reads) {
		const newest = newestVersion(configurations.filter(({acknowledgedAt}) => acknowledgedAt + configuration < askedAt));
		if (version < newest) {
			broken.push(`configuration: ${control} told version ${version}, ${newest} was acknowledged`);
		}
	}

	const newest = newestVersion(configurations);
	if (finalVersion === undefined || finalVersion < newest) {
		broken.push(`configuration: version ${finalVersion ?? 'none'} at the end, ${newest} was acknowledged`);
	}

	return broken;
}

function brokenRecovery({unrecovered, ends}: SoakRecord): readonly string[] {
	return [
		...unrecovered.map(entry => `recovery: ${entry} did not serve again`),
		...ends.map(end => `processes: ${end}`),
	];
}

function newestVersion(configurations: ReadonlyArray<{readonly version: number}>): number {
	return Math.max(0, ...configurations.map(({version}) => version));
}
