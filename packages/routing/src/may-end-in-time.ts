import {type AnswerTimes} from './answer-times.js';

/** A request that is about to be sent. */
export type PlannedSend = {
	/** What the times of whole answers are kept under. */
	readonly key: string;
	/** The time until the deadline of the request, in milliseconds. */
	readonly timeLeft: number;
	/** What its caller loses if the answer does not end in time: nothing that the request has, or an answer that could be forwarded instead. */
	readonly loses: 'nothing' | 'an-answer';
	/** Milliseconds on the monotonic clock. */
	readonly now: number;
};

/** The share of the answers that take longer than the time left for a request that surely cannot be served: all but a tenth, less the rounding of sums. */
const fastShare = 0.1 - 1e-9;
/** The same for a request that has an answer: it is given up only for one that is as likely in time as not. */
const likelyShare = 0.5;
/** How far quantiles lie above the times at most, as a factor. */
const quantileFactor = 1.101;
/** The time within which an answer must have been dispatched and have ended for the times to hold now, in milliseconds. */
const freshMilliseconds = 5000;
/** The same as a multiple of the time of such an answer. */
const freshFactor = 3;

/**
Decides whether a request is worth sending, by how long whole answers of such requests take from their dispatch.

A request that has nothing to lose is sent unless even a fast tenth of such answers takes longer than the time left; one that has an answer already, if another one is as likely in time as not. While too few answers have ended lately, any request may be sent, so that requests that are not sent cannot keep the times from being learned anew.

It answers requests that wait for long before they are dispatched, and escalations late in their time, whose callers would get a part of an answer in place of a true refusal or a whole answer.

@param times The times from dispatch to the end of whole answers.
@param send The request.
@returns Whether it may be sent.
@example
```ts
mayEndInTime(times, {key: 'route-1 large', timeLeft: 2200, loses: 'nothing', now});
```
*/
export function mayEndInTime(times: Pick<AnswerTimes, 'quantile' | 'overtakenBy'>, {key, timeLeft, loses, now}: PlannedSend): boolean {
	const time = times.quantile(key, {share: loses === 'nothing' ? fastShare : likelyShare, now});
	if (time === undefined || time / quantileFactor <= timeLeft) {
		return true;
	}

	return times.overtakenBy(key, {sentAt: now - Math.max(freshMilliseconds, freshFactor * time)}) === 0;
}
