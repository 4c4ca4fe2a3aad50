import {type RequestId, type WorkspaceId} from '@valehitch/core';

/** A request that competes for the time in which servers process prompts. */
export type ContentionRequest = {
	/** Unique within the queue. */
	readonly id: RequestId;
	/** 0 is the most urgent. */
	readonly priority: number;
	/** The workspace of the caller; undefined if the route is public. */
	readonly workspace: WorkspaceId | undefined;
	/** The processing time of its prompt, in milliseconds at a server of mean speed. */
	readonly work: number;
	/** The target time to the first event, in milliseconds. */
	readonly targetLatency: number;
	/** When it arrived, in milliseconds on the monotonic clock. */
	readonly arrivedAt: number;
	/** Its deadline, in milliseconds on the monotonic clock. */
	readonly deadlineAt: number;
	/** How long its answer goes on after the first event, in milliseconds; 0 by default. */
	readonly answerTime?: number;
};

/** What was lacking when a request was held or rejected. */
export type HoldGrounds = {
	/** The mean wait at the servers, in milliseconds. */
	readonly wait: number;
	/** The wait up to which servers have room, in milliseconds. */
	readonly bound: number;
	/** The work that all servers take until their mean wait is the bound, in milliseconds at a server of mean speed. */
	readonly room: number;
	/** The work of the same or a more urgent priority that this instance held already, in milliseconds at a server of mean speed. */
	readonly heldHere: number;
	/** The same of the other instances. */
	readonly heldByOthers: number;
	/** The predicted time until its first event, in milliseconds: the work held before it, the wait at the servers and its own work. */
	readonly predicted: number;
};

/** What becomes of a request that enters a contention queue. */
export type ContentionDecision
	= | {readonly type: 'send'}
		| ({readonly type: 'held'} & HoldGrounds)
		| ({
			readonly type: 'rejected';
			/** The time until there is room for the request, in milliseconds. */
			readonly retryAfterMilliseconds: number;
			/** The work that is before the request and beyond the room, in milliseconds at a server of mean speed. */
			readonly workBefore: number;
			/** The time by which the predicted first event exceeds what is left, in milliseconds. */
			readonly overrun: number;
		} & HoldGrounds);

/** Why a held request is sent: there is room for it, it may be held no longer, or the queue holds nothing now because the load of the pool is not known. */
export type ReleaseReason = 'room' | 'time' | 'off';

/** A held request that is sent now. */
export type ReleasedRequest = {
	readonly request: ContentionRequest;
	readonly reason: ReleaseReason;
};
