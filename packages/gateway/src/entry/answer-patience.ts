import {type ModelId} from '@valehitch/core';
import {type AnswerTimes} from '@valehitch/routing';
import {type Route} from '../configuration/routing-configuration.js';

/** How long the head of an answer is waited for before a second server is asked, all in milliseconds. */
export type AnswerPatience = {
	/** What the answer times of such requests are kept under. */
	readonly key: string;
	/** The time that answer times are compared with. */
	readonly unit: number;
	/** The time after which it is checked whether the server is responsive, if it has sent no data on other connections either. */
	readonly checkAfter: number;
	/** The time after which the answer of a working server is late. */
	readonly lateAfter: number;
	/** The time after which it is late even if no later request was answered. */
	readonly patience: number;
	/** The same for a send on a reused connection, which may have failed silently while the server itself works. */
	readonly patienceOnReused: number;
	/** The time within which another send is as likely answered as not. */
	readonly answerTime: number;
};

/** Options of {@linkcode answerPatience}. */
export type AnswerPatienceOptions = {
	/** The model of the send; undefined if the caller chose it or the request needs none. */
	readonly model: ModelId | undefined;
	/** The expected time to the first event of the prompt, in milliseconds; not used for plain requests. */
	readonly expected: number;
	readonly times: Pick<AnswerTimes, 'quantile'>;
	/** Milliseconds on the monotonic clock. */
	readonly now: number;
};

/** The quantiles of a key; undefined while there is too little history. */
type KnownTimes = {
	readonly key: string;
	readonly late: number | undefined;
	readonly median: number | undefined;
};

/** The quantile of the answer times above which an answer is late. */
const lateShare = 0.95;
/** The quantile of the answer times that is expected of another send. A request whose send was lost is most likely an ordinary one, even where some requests take far longer. */
const answerShare = 0.5;
/** The time without any data from a server after which its reachability is checked, in milliseconds. It is long enough for a pause of the engine or a lost packet. */
const reachabilityCheckMilliseconds = 500;
/** The shortest time after which a plain answer is late, in milliseconds, so that jitter causes no second sends. */
const minimumLateMilliseconds = 100;
/** The time after which the first event is late by any measure, as a multiple of its expected time. A short prompt that is queued behind long ones is answered sooner elsewhere; a long prompt that is being processed is not. */
const patienceFactor = 8;
/** The same on a reused connection. */
const reusedPatienceFactor = 4;

/**
Returns how long the head of an answer is waited for: by the answer times of the route, for streams in proportion to the expected time of the prompt.

@param route The route.
@param options The model, the expected time and the history.
@returns The times.
@example
```ts
answerPatience(route, {model: undefined, expected: 0, times, now});
```
*/
export function answerPatience(route: Pick<Route, 'id' | 'kind' | 'targetLatency'>, {model, expected, times, now}: AnswerPatienceOptions): AnswerPatience {
	const key = `${route.id} ${model ?? ''}`;
	const known = {key, late: times.quantile(key, {share: lateShare, now}), median: times.quantile(key, {share: answerShare, now})};
	return route.kind === 'safe' ? plainPatience(route, known) : streamPatience({...known, expected});
}

function plainPatience({targetLatency}: Pick<Route, 'targetLatency'>, {key, late, median}: KnownTimes): AnswerPatience {
	const lateAfter = Math.max(minimumLateMilliseconds, late ?? targetLatency);
	const patience = Math.max(lateAfter, targetLatency);
	return {
		key,
		unit: 1,
		checkAfter: reachabilityCheckMilliseconds,
		lateAfter,
		patience,
		patienceOnReused: patience,
		// While nothing is known, any time that is left may be enough.
		answerTime: Math.max(minimumLateMilliseconds, median ?? 0),
	};
}

function streamPatience({key, late, median, expected}: KnownTimes & {readonly expected: number}): AnswerPatience {
	const slow = (late ?? 1) * expected;
	const lateAfter = Math.max(reachabilityCheckMilliseconds, slow, reusedPatienceFactor * expected);
	return {
		key,
		unit: expected,
		checkAfter: reachabilityCheckMilliseconds,
		lateAfter,
		patience: Math.max(lateAfter, patienceFactor * expected),
		patienceOnReused: lateAfter,
		answerTime: (median ?? 1) * expected,
	};
}
