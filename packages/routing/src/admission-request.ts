import {type Failure, type RequestId, type WorkspaceId} from '@valehitch/core';

/** A request to be admitted. */
export type AdmissionRequest = {
	readonly id: RequestId;
	readonly workspace: WorkspaceId;
	/** The workspace's weight in sharing capacity, above 0. */
	readonly weight: number;
	/** From 0 to 9; among the requests of a workspace, lower numbers are admitted first. */
	readonly priority: number;
	/** The estimated tokens of the prompt and the answer, above 0. */
	readonly cost: number;
	/** When the last byte of the answer is due, in milliseconds on the monotonic clock. */
	readonly deadline: number;
	/** The estimated time from admission to the last byte, in milliseconds. */
	readonly serviceMilliseconds: number;
};

/** The decision on an offered request. */
export type AdmissionDecision = AdmissionOutcome & {
	/** The queued requests that the offer unblocked and that are admitted now, in order; the caller must start them. */
	readonly unblocked: readonly RequestId[];
};

/** What becomes of an offered request. */
export type AdmissionOutcome
	= | {readonly type: 'admitted'}
		| {readonly type: 'queued'; readonly waitMilliseconds: number}
		| {readonly type: 'refused'; readonly failure: Failure};

/** The limits of an admission controller. */
export type AdmissionControllerOptions = {
	/** The initial number of tokens that may be in progress at once. */
	readonly capacity: number;
	/** The maximum number of queued requests over all workspaces; 1024 by default. */
	readonly maximumQueueLength?: number;
};

/** The options for releasing an admitted request. */
export type ReleaseOptions = {
	/** The tokens that the request actually used. */
	readonly tokens: number;
	/** Milliseconds on the monotonic clock. */
	readonly now: number;
};
