import {type PoolPicture, predictPoolWait} from '@valehitch/routing';
import {type ServerId} from '@valehitch/core';
import {type HeadTimeouts} from './send-attempt.js';

/** Options of {@linkcode extendHeadTimeouts}. */
export type ExtendHeadTimeoutsOptions = {
	readonly server: ServerId;
	/** The load of the pool; of infinite age if it is not known. */
	readonly picture: PoolPicture;
	/** The target latency of the route, in milliseconds. */
	readonly targetLatency: number;
};

/** How much longer than predicted a server may take for the prompts that wait there. */
const waitFactor = 2;
/** The part of the target latency for which a working server is waited for at least; the rest is enough for another one. */
const patienceShare = 0.5;

/**
Extends the timeouts for the head of an answer by the prompts that wait at the server.

It answers bursts in which all servers have prompts waiting: a request that is sent to another server then waits there again, behind others, while the work of its first send is lost. A server that sends nothing on any connection and accepts none is still given up as early as before.

@param timeouts The timeouts by the expected latency of the prompt.
@param options The server, the load of the pool and the target.
@returns The timeouts; the given ones if the load is not known.
@example
```ts
extendHeadTimeouts(models.headTimeouts, {server, picture, targetLatency: 1500});
```
*/
export function extendHeadTimeouts<Timeouts extends Pick<HeadTimeouts, 'maximum' | 'maximumOnReused'>>(timeouts: Timeouts, {server, picture, targetLatency}: ExtendHeadTimeoutsOptions): Timeouts {
	if (!Number.isFinite(picture.age)) {
		return timeouts;
	}

	const patience = patienceShare * targetLatency;
	const wait = waitFactor * predictPoolWait(picture, [server]);
	return {
		...timeouts,
		maximum: Math.max(timeouts.maximum, patience) + wait,
		maximumOnReused: Math.max(timeouts.maximumOnReused, patience) + wait,
	};
}
