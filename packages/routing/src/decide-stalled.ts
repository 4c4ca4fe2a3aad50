/** A stream that has begun and whose next event has not come. */
export type StalledSend = {
	/** The time since its last data, in milliseconds. */
	readonly paused: number;
	/** The longest pause between two events that is on time, in milliseconds. */
	readonly targetGap: number;
	/** The time until the deadline of the request, in milliseconds. */
	readonly timeLeft: number;
	/** The time that another server needs until the stream goes on there, in milliseconds. */
	readonly resumeTime: number;
	/** Returns whether the request could be sent to another server now; called only if one is to be asked. */
	readonly canGoElsewhere: () => boolean;
	/** Whether anything but the pause says that the server is gone or out of reach: a missed heartbeat, a connection that failed, links that fail. */
	readonly isServerInDoubt: boolean;
	/** Whether the server goes on sending on other connections. */
	readonly isOvertaken: boolean;
};

/** Why a stream goes on at another server: the first one is likely gone, sends to others only, has been silent for longer than sound ones are, or leaves no more time for it. */
export type ResumeReason = 'in-doubt' | 'overtaken' | 'silent' | 'time-short';

/** What is done about a stream whose next event has not come. */
export type StalledDecision
	/** It is waited on. */
	= | {readonly type: 'wait'; readonly reason: 'on-time' | 'nowhere-else' | 'no-time' | 'may-go-on'}
	/** Another server is asked to go on with it. */
		| {readonly type: 'resume-elsewhere'; readonly reason: ResumeReason};

/** The longest silence after which a sound server goes on, in milliseconds: a suspension, a long collection of garbage, or a lost packet that is sent again. */
export const soundSilenceMilliseconds = 2000;
/** The time left at which another server is asked, as a multiple of the time that it needs. */
const timeShortFactor = 2;

/**
Decides whether another server is asked to go on with a stream that has paused.

A pause that is longer than the target makes the answer late wherever it goes on, so that little is gained by asking at once. Another run adds load, may break, and takes the place of the first one, whose server may only have been silent for a moment. As long as nothing but the pause speaks against that server, it is waited for as long as sound servers are silent, if the time left allows it.

It answers servers that fall silent for a moment, all of their streams at once, beside servers that lose single streams or end.

@param send The stream.
@returns The decision.
@example
```ts
const {type, reason} = decideStalled({paused: 1200, targetGap: 1000, timeLeft: 5000, resumeTime: 300, canGoElsewhere: () => true, isServerInDoubt: false, isOvertaken: false});
```
*/
export function decideStalled(send: StalledSend): StalledDecision {
	const {paused, targetGap, timeLeft, resumeTime, canGoElsewhere} = send;
	if (paused < targetGap) {
		return {type: 'wait', reason: 'on-time'};
	}

	if (timeLeft < resumeTime) {
		return {type: 'wait', reason: 'no-time'};
	}

	const reason = reasonToResume(send);
	if (reason === undefined) {
		return {type: 'wait', reason: 'may-go-on'};
	}

	return canGoElsewhere() ? {type: 'resume-elsewhere', reason} : {type: 'wait', reason: 'nowhere-else'};
}

/** Returns why the server is not waited for any longer; undefined if it is. */
function reasonToResume({paused, timeLeft, resumeTime, isServerInDoubt, isOvertaken}: StalledSend): ResumeReason | undefined {
	if (isServerInDoubt) {
		return 'in-doubt';
	}

	if (isOvertaken) {
		return 'overtaken';
	}

	const mayWaitFor = soundSilenceMilliseconds - paused;
	if (mayWaitFor <= 0) {
		return 'silent';
	}

	return timeLeft - mayWaitFor < timeShortFactor * resumeTime ? 'time-short' : undefined;
}
