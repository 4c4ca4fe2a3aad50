import {type RequestId, type ServerId} from '@valehitch/core';
import {PauseReview, type StalledDecision} from '@valehitch/routing';
import {type EntryContext} from './entry-context.js';
import {findServer} from './find-server.js';
import {engineGroup} from './server-group-of.js';

/** Options of {@linkcode watchPauses}. */
export type WatchPausesOptions = {
	readonly requestId: RequestId;
	readonly attempt: number;
	readonly server: ServerId;
	/** The version, as `versionKey` names it. */
	readonly target: string;
	/** When the answer is due, in milliseconds on the monotonic clock. */
	readonly deadline: number;
	/** The longest pause that is on time, in milliseconds. */
	readonly targetGap: number;
	/** The time that another engine needs until the answer goes on there, in milliseconds. */
	readonly resumeTime: number;
};

/** The part of the context that is used. */
export type WatchPausesContext = {
	readonly clock: Pick<EntryContext['clock'], 'monotonic'>;
	readonly log: Pick<EntryContext['log'], 'info'>;
	readonly servers: EntryContext['servers'];
	readonly activity: Pick<EntryContext['activity'], 'sentDataAt' | 'recordSilent'>;
	readonly serverSelector: Pick<EntryContext['serverSelector'], 'hasOther' | 'isEjected'>;
	readonly connections: {readonly links: {readonly of: (group: typeof engineGroup) => {readonly areConnected: boolean}}};
};

/**
Watches the pauses of an answer that has begun. Each decision is logged, and an engine that may only be silent for a moment gets no further requests meanwhile.

@param context The context.
@param options The attempt.
@returns A function that decides on a pause, in milliseconds.
@example
```ts
const reviewPause = watchPauses(context, {requestId, attempt, server, target, deadline, targetGap, resumeTime});
reviewPause(1200);
```
*/
export function watchPauses(context: WatchPausesContext, options: WatchPausesOptions): (paused: number) => StalledDecision {
	const {clock, log, servers, activity, serverSelector, connections} = context;
	const {requestId, attempt, server, target, deadline, targetGap, resumeTime} = options;
	const links = connections.links.of(engineGroup);
	// Without links of its own, the attempt goes through another daemon.
	const usesOwnLinks = links.areConnected;
	const review = new PauseReview({
		targetGap,
		onDecision({type, reason}, paused) {
			const now = clock.monotonic();
			log.info({
				requestId, attempt, server, decision: type, reason, paused: Math.round(paused), timeLeft: Math.round(deadline - now),
			}, 'The answer has paused');
			if (type === 'wait') {
				activity.recordSilent(server, {now, since: now - paused});
			}
		},
	});
	return paused => {
		const now = clock.monotonic();
		return review.decide({
			now,
			paused,
			heardAt: activity.sentDataAt(server),
			timeLeft: deadline - now,
			resumeTime,
			canGoElsewhere: () => serverSelector.hasOther(target, server),
			isServerInDoubt: findServer(servers, server) === undefined || serverSelector.isEjected(server) || (usesOwnLinks && !links.areConnected),
		});
	};
}
