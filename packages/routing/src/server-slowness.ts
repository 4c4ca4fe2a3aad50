import {type ResponseTimes} from './recent-times.js';

/** The expected time that counts as observed at mean speed while there are no answers, in milliseconds: a few answers, so that one late answer does not make a server slow. */
const priorMilliseconds = 1000;
/** The bounds of the result. */
const minimumSlowness = 0.25;
const maximumSlowness = 8;

/**
Estimates how slow a server is against the other servers of its pool.

It answers the load of servers of unlike speeds: times of a pool that is busy as a whole leave all servers at 1. The more answers there are, the less counts the assumption that a server is of mean speed.

@param server The sums of the recent times of the server.
@param pool The sums over all servers.
@returns 1 for a server of mean speed, without recent answers or with sums that are no numbers, 2 for one that takes twice as long; within 0.25 and 8.
@example
```ts
serverSlowness({observed: 40_000, expected: 20_000}, {observed: 400_000, expected: 400_000}); // about 2
```
*/
export function serverSlowness(server: ResponseTimes, pool: ResponseTimes): number {
	if (pool.observed <= 0 || pool.expected <= 0) {
		return 1;
	}

	const observedAtMeanLoad = server.observed * pool.expected / pool.observed;
	const prior = priorMilliseconds * priorMilliseconds / (priorMilliseconds + server.expected);
	const slowness = (observedAtMeanLoad + prior) / (server.expected + prior);
	if (!Number.isFinite(slowness)) {
		return 1;
	}

	return Math.min(maximumSlowness, Math.max(minimumSlowness, slowness));
}
