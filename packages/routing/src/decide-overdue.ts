/** A send whose answer has not begun. */
export type OverdueSend = {
	/** The time since the send, in milliseconds. */
	readonly waited: number;
	/** The time until the deadline of the request, in milliseconds. */
	readonly timeLeft: number;
	/** The time after which the answer of a working server is late, in milliseconds: a high quantile of the answer times of such requests. */
	readonly lateAfter: number;
	/** The time after which the answer is late even if no later request was answered, in milliseconds. */
	readonly patience: number;
	/** The time that another send needs to be answered, in milliseconds: the median, since a send that was lost says nothing about its request. */
	readonly answerTime: number;
	/** How many sends of such requests that were made later have been answered. */
	readonly overtakenBy: number;
	/** Whether its server has sent data on another connection since the send, or accepts a new one; undefined while that was not checked. */
	readonly isResponsive: boolean | undefined;
	/** Whether the request could be sent to another server now. */
	readonly canGoElsewhere: boolean;
	/** Whether the allowance for second sends to working servers has one left. */
	readonly hasAllowance: boolean;
	/** Whether it has one left for a request that most likely ends without an answer otherwise. */
	readonly hasLastAllowance: boolean;
};

/** Why a request is sent to a second server: the first one is silent, answers later requests sooner, is late by any measure, or leaves no more time for it. */
export type SecondSendReason = 'unresponsive' | 'overtaken' | 'late' | 'time-short';

/** What is done about a send whose answer has not begun. */
export type OverdueDecision
	/** It is waited on. */
	= | {readonly type: 'wait'; readonly reason: 'not-late' | 'nowhere-else' | 'no-time' | 'not-overtaken' | 'no-allowance'}
	/** The request is sent to another server too. */
		| {readonly type: 'send-beside'; readonly reason: SecondSendReason};

type OverdueTimes = Pick<OverdueSend, 'waited' | 'patience' | 'overtakenBy'>;

/** How many later sends must have been answered before a send counts as overtaken: one or two are chance. */
const overtakenCount = 3;
/** The time left at which a send that nobody has overtaken counts as late, as a multiple of the time that another one needs. */
const timeShortFactor = 2;

/**
Decides whether a request is sent to a second server while the first one still owes its answer.

That time has passed says little: the request may take long anywhere, or all servers are slow, and every second send then adds to the load that delays them. A server that sends nothing and accepts nothing is likely gone, so that a second send adds no load. Behind a server that works, a second send is made only if later requests are answered sooner, or the answer is late by any measure, within an allowance that second sends win back by being answered first. If the time runs out meanwhile, a larger allowance counts. The first send goes on either way, and the answer that begins first counts.

It answers servers that lose single requests or fall silent, beside servers that are only slow, also all of them at once.

@param send The send.
@returns The decision.
@example
```ts
const {type, reason} = decideOverdue({waited: 300, timeLeft: 1200, lateAfter: 160, patience: 400, answerTime: 160, overtakenBy: 5, isResponsive: true, canGoElsewhere: true, hasAllowance: true, hasLastAllowance: true});
```
*/
export function decideOverdue(send: OverdueSend): OverdueDecision {
	const {waited, timeLeft, lateAfter, answerTime, isResponsive, canGoElsewhere, hasAllowance, hasLastAllowance} = send;
	if (waited < lateAfter && isResponsive !== false) {
		return {type: 'wait', reason: 'not-late'};
	}

	if (!canGoElsewhere) {
		return {type: 'wait', reason: 'nowhere-else'};
	}

	if (isResponsive === false) {
		return {type: 'send-beside', reason: 'unresponsive'};
	}

	if (timeLeft < answerTime) {
		return {type: 'wait', reason: 'no-time'};
	}

	const isTimeShort = timeLeft <= timeShortFactor * answerTime;
	const reason = reasonAtWorkingServer(send) ?? (isTimeShort ? 'time-short' : undefined);
	if (reason === undefined) {
		return {type: 'wait', reason: 'not-overtaken'};
	}

	if (!hasAllowance && isTimeShort && hasLastAllowance) {
		return {type: 'send-beside', reason: 'time-short'};
	}

	return hasAllowance ? {type: 'send-beside', reason} : {type: 'wait', reason: 'no-allowance'};
}

/** Returns why the answer of a working server is taken for lost before the time runs out; undefined if it is not. */
function reasonAtWorkingServer({waited, patience, overtakenBy}: OverdueTimes): SecondSendReason | undefined {
	if (overtakenBy >= overtakenCount) {
		return 'overtaken';
	}

	return waited >= patience ? 'late' : undefined;
}
