import {type PoolPicture, predictPoolWait} from '@valehitch/routing';
import {type ServerId} from '@valehitch/core';
import {type AnswerPatience} from './answer-patience.js';

/** Options of {@linkcode extendPatience}. */
export type ExtendPatienceOptions = {
	readonly server: ServerId;
	/** The load of the pool; of infinite age if it is not known. */
	readonly picture: PoolPicture;
	/** The target latency of the route, in milliseconds. */
	readonly targetLatency: number;
};

type ExtendedTimes = Pick<AnswerPatience, 'lateAfter' | 'patience' | 'patienceOnReused'>;

/** How much longer than predicted a server may take for the prompts that wait there. */
const waitFactor = 2;
/** The part of the target latency for which a working server is waited for at least; the rest is enough for another one. */
const patienceShare = 0.5;

/**
Extends the times for which the head of an answer is waited for by the prompts that wait at the server.

It answers bursts in which all servers have prompts waiting: a request that is sent to another server then waits there again, behind others, while the work of its first send is lost. For a server that sends nothing on any connection and accepts none, nothing changes.

@param patience The times by the expected latency of the prompt.
@param options The server, the load of the pool and the target.
@returns The times; the given ones if the load is not known.
@example
```ts
extendPatience(models.patience, {server, picture, targetLatency: 1500});
```
*/
export function extendPatience<Patience extends ExtendedTimes>(patience: Patience, {server, picture, targetLatency}: ExtendPatienceOptions): Patience {
	if (!Number.isFinite(picture.age)) {
		return patience;
	}

	const minimum = patienceShare * targetLatency;
	const wait = waitFactor * predictPoolWait(picture, [server]);
	return {
		...patience,
		lateAfter: Math.max(patience.lateAfter, minimum) + wait,
		patience: Math.max(patience.patience, minimum) + wait,
		patienceOnReused: Math.max(patience.patienceOnReused, minimum) + wait,
	};
}
