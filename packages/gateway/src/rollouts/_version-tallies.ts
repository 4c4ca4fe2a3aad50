import {type VersionId} from '@valehitch/core';
import {countStarted} from './count-started.js';
import {type VersionEvidence} from './version-evidence.js';
import {addWaits, emptyWaitTable, type WaitTable} from './wait-table.js';

/** The answers of a version on one route and model. */
export type Tally = {
	answers: number;
	failures: number;
	/** The number of answers with a known time to the first byte. */
	timed: number;
	/** The sum of these times, in milliseconds. */
	timeSum: number;
	/** How long sends waited for their answers to begin. */
	waits: WaitTable;
};

/** The times of a version, and what another one would have taken on the same routes and models. */
export type ComparedTimes = {
	/** The number of compared times. */
	readonly timed: number;
	/** Their sum, in milliseconds. */
	readonly observed: number;
	/** The sum that the old version would have taken, in milliseconds. */
	readonly expected: number;
};

/** The tally of a version without answers. */
export const emptyTally: Readonly<Tally> = {
	answers: 0, failures: 0, timed: 0, timeSum: 0, waits: emptyWaitTable,
};
/** The tallies of a version by route and model. */
export type VersionTallies = ReadonlyMap<string, Tally>;

/** Adds up the counters of all entry instances, for the new version and for the others. */
export function tallyVersions(target: VersionId, evidence: readonly VersionEvidence[]): {readonly baseline: VersionTallies; readonly candidate: VersionTallies} {
	return {
		baseline: tallyByRoute(evidence.filter(({version}) => version !== target)),
		candidate: tallyByRoute(evidence.filter(({version}) => version === target)),
	};
}

/** Compares the observed times with those that the old version would have taken on the same routes and models, since few answers on each add up to many. */
export function compareTimes(candidate: VersionTallies, baseline: VersionTallies): ComparedTimes {
	let timed = 0;
	let observed = 0;
	let expected = 0;
	for (const [key, tally] of candidate) {
		const baselineTally = baseline.get(key) ?? emptyTally;
		if (baselineTally.timed === 0) {
			continue;
		}

		timed += tally.timed;
		observed += tally.timeSum;
		expected += tally.timed * meanLatency(baselineTally);
	}

	return {timed, observed, expected};
}

/** Returns the mean time to the first byte, in milliseconds. */
export function meanLatency({timed, timeSum}: Tally): number {
	return timeSum / Math.max(1, timed);
}

function tallyByRoute(evidence: readonly VersionEvidence[]): ReadonlyMap<string, Tally> {
	const tallies = new Map<string, Tally>();
	for (const counter of evidence) {
		const {route, model, answers, failures, waits = emptyWaitTable} = counter;
		const {started, startSum} = countStarted(counter);
		const key = `${route} ${model}`;
		const tally = tallies.get(key) ?? {...emptyTally};
		tally.answers += answers;
		tally.failures += failures;
		tally.timed += started;
		tally.timeSum += startSum;
		tally.waits = addWaits(tally.waits, waits);
		tallies.set(key, tally);
	}

	return tallies;
}
