import {isDisturbed} from './is-disturbed.js';
import {type ObservedRequest, type SoakRecord, type UncertainKey} from './soak-record.js';

/** The time after the beginning of a cut from which callers must be served about as often as elsewhere, in milliseconds. */
const connectivityMilliseconds = 3000;
/** Callers must be served at least this share as often as at other instances. */
const servedShare = 2 / 3;
/** So many requests may fail in any case, and this share of all. */
const allowedFailures = 10;
const allowedFailureShare = 1 / 50;
const successStatus = 200;

/**
Checks that callers of an instance that opened no connection to any backend server were served about as often as those of others. Instances that were disturbed by something else are left out, and requests with a key that may have been refused.

@param record The observations.
@returns A line for each violation.
@example
```ts
findCutViolations(record);
```
*/
export function findCutViolations({requests, serverCuts, disturbances, uncertainKeys}: Pick<SoakRecord, 'requests' | 'serverCuts' | 'disturbances' | 'uncertainKeys'>): readonly string[] {
	const violations: string[] = [];
	const cutEntries = new Set(serverCuts.map(({entry}) => entry));
	for (const {entry, from, to} of serverCuts) {
		const inCut = requests.filter(request => request.sentAt > from + connectivityMilliseconds && request.sentAt < to
			&& !isDisturbed(disturbances, {address: request.entry, from, to}) && !mayBeRefused(request, uncertainKeys));
		// Each service has its own servers, and the mix of requests differs between instances.
		const services = [inCut.filter(({kind}) => kind === 'streaming'), inCut.filter(({kind}) => kind !== 'streaming')];
		const judged = services.filter(requests => isServedFarLess(divide(requests, {entry, cutEntries}))).flat();
		const {own, others} = divide(judged, {entry, cutEntries});
		const ownServed = countServed(own);
		const failures = own.length - ownServed;
		if (failures > allowedFailures + (allowedFailureShare * own.length)) {
			violations.push(`server cut: ${entry} served ${ownServed} of ${own.length} requests, the others ${countServed(others)} of ${others.length}`);
		}
	}

	return violations;
}

type ComparedRequests = {
	readonly own: readonly ObservedRequest[];
	readonly others: readonly ObservedRequest[];
};

/** Divides requests into those to an instance and those to instances that were not cut. */
function divide(requests: readonly ObservedRequest[], {entry, cutEntries}: {readonly entry: string; readonly cutEntries: ReadonlySet<string>}): ComparedRequests {
	return {own: requests.filter(request => request.entry === entry), others: requests.filter(request => !cutEntries.has(request.entry))};
}

function isServedFarLess({own, others}: ComparedRequests): boolean {
	return others.length > 0 && countServed(own) * others.length < servedShare * countServed(others) * own.length;
}

function mayBeRefused({key, sentAt}: ObservedRequest, uncertainKeys: readonly UncertainKey[]): boolean {
	return uncertainKeys.some(uncertain => uncertain.key === key && sentAt >= uncertain.from && sentAt < (uncertain.to ?? Number.POSITIVE_INFINITY));
}

function countServed(requests: readonly ObservedRequest[]): number {
	return requests.filter(({status, isComplete}) => status === successStatus && isComplete).length;
}
