import {isDisturbed} from './is-disturbed.js';
import {type ObservedRequest, type SoakRecord} from './soak-record.js';

/** The time after the beginning of a cut from which callers must be served about as often as elsewhere, in milliseconds. */
const connectivityMilliseconds = 3000;
/** Callers must be served at least this share as often as at other instances. */
const servedShare = 2 / 3;
/** So many requests may fail in any case, and this share of all. */
const allowedFailures = 10;
const allowedFailureShare = 1 / 50;
const successStatus = 200;

/**
Checks that callers of an instance that opened no connection to any backend server were served about as often as those of others. Instances that were disturbed by something else are left out.

@param record The observations.
@returns A line for each violation.
@example
```ts
findCutViolations(record);
```
*/
export function findCutViolations({requests, serverCuts, disturbances}: Pick<SoakRecord, 'requests' | 'serverCuts' | 'disturbances'>): readonly string[] {
	const violations: string[] = [];
	const cutEntries = new Set(serverCuts.map(({entry}) => entry));
	for (const {entry, from, to} of serverCuts) {
		const inCut = requests.filter(({sentAt, entry: address}) => sentAt > from + connectivityMilliseconds && sentAt < to && !isDisturbed(disturbances, {address, from, to}));
		const [own, others] = [inCut.filter(request => request.entry === entry), inCut.filter(request => !cutEntries.has(request.entry))];
		const [ownServed, othersServed] = [countServed(own), countServed(others)];
		const failures = own.length - ownServed;
		const isServedFarLess = others.length > 0 && ownServed * others.length < servedShare * othersServed * own.length;
		if (isServedFarLess && failures > allowedFailures + (allowedFailureShare * own.length)) {
			violations.push(`server cut: ${entry} served ${ownServed} of ${own.length} requests, the others ${othersServed} of ${others.length}`);
		}
	}

	return violations;
}

function countServed(requests: readonly ObservedRequest[]): number {
	return requests.filter(({status, isComplete}) => status === successStatus && isComplete).length;
}
