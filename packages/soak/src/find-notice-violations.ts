import {isDisturbed} from './is-disturbed.js';
import {type ObservedArrival, type SoakRecord} from './soak-record.js';

/** The time after an answer from which an instance must heed what it said, in milliseconds. */
const heedMilliseconds = 500;
/** The time after a server first named a limit from which it holds for all instances together, in milliseconds. */
const connectivityMilliseconds = 3000;
const windowMilliseconds = 4000;
const limitFactor = 1.5;
const limitSlack = 5;
const arrivalsInPause = 2;
const millisecondsPerSecond = 1000;

type EntryArrival = ObservedArrival & {readonly entry: string};

/**
Checks that servers which named a rate limit, or asked for a pause, got no more requests than allowed from instances that knew it and were not disturbed.

@param record The observations.
@returns A line for each violation.
@example
```ts
findNoticeViolations(record);
```
*/
export function findNoticeViolations({requests, arrivals, limits, pauses, disturbances}: Pick<SoakRecord, 'requests' | 'arrivals' | 'limits' | 'pauses' | 'disturbances'>): readonly string[] {
	const entryByRequest = new Map(requests.map(({id, entry}) => [id, entry]));
	const known = arrivals.map((arrival): EntryArrival => ({...arrival, entry: entryByRequest.get(arrival.id) ?? ''}));
	const violations: string[] = [];
	for (const {server, requestsPerSecond, from, to} of limits) {
		const heeded = known.filter(({server: at, at: time, entry}) => at === server && time > from + connectivityMilliseconds && time <= to
			&& isTold(known, {
				server, entry, from, before: time - heedMilliseconds,
			}) && !isDisturbed(disturbances, {address: entry, from, to: time}));
		const allowed = (limitFactor * requestsPerSecond * windowMilliseconds / millisecondsPerSecond) + limitSlack;
		const most = Math.max(0, ...heeded.map(({at}) => heeded.filter(other => other.at > at - windowMilliseconds && other.at <= at).length));
		if (most > allowed) {
			violations.push(`rate limits: ${server} named ${requestsPerSecond.toFixed(1)} a second and got ${most} requests in ${windowMilliseconds} ms, ${allowed.toFixed(1)} are allowed`);
		}
	}

	for (const {server, id, at, until} of pauses) {
		const entry = entryByRequest.get(id) ?? '';
		const late = known.filter(arrival => arrival.server === server && arrival.entry === entry && arrival.at > at + heedMilliseconds && arrival.at < until);
		if (late.length > arrivalsInPause && !isDisturbed(disturbances, {address: entry, from: at, to: until})) {
			violations.push(`pauses: ${server} asked ${entry} for ${Math.round(until - at)} ms and got ${late.length} requests from it`);
		}
	}

	return violations;
}

/** Whether an instance had sent a request to a server after it named its limit, so that the answer told it. */
function isTold(arrivals: readonly EntryArrival[], {server, entry, from, before}: {readonly server: string; readonly entry: string; readonly from: number; readonly before: number}): boolean {
	return arrivals.some(arrival => arrival.server === server && arrival.entry === entry && arrival.at >= from && arrival.at <= before);
}
