import {type Failure, type RequestId, type WorkspaceId} from '@valehitch/core';

/** A request that asks for admission. */
export type AdmissionRequest = {
	readonly id: RequestId;
	readonly workspace: WorkspaceId;
	/** The workspace's weight in sharing capacity, above 0. */
	readonly weight: number;
	/** From 0 to 9; lower is sooner, among the requests of its workspace. */
	readonly priority: number;
	/** The estimate of its tokens, prompt and answer, above 0. */
	readonly cost: number;
	/** When its last byte is due, in milliseconds on the monotonic clock. */
	readonly deadline: number;
	/** The estimate of the time from admission to the last byte, in milliseconds. */
	readonly serviceMilliseconds: number;
};

/** What becomes of a request that asks. */
export type AdmissionAnswer
	= | {readonly type: 'admitted'}
		| {readonly type: 'queued'; readonly waitMilliseconds: number}
		| {readonly type: 'refused'; readonly failure: Failure};

/** The bounds of an admission. */
export type AdmissionOptions = {
	/** Tokens that may be in progress at once; it may change. */
	readonly capacity: number;
	/** The most requests that wait, of all workspaces; 1024 by default. */
	readonly maximumWaiting?: number;
};

/** The end of an admitted request. */
export type ReleaseOptions = {
	/** The tokens it really used. */
	readonly tokens: number;
	/** Milliseconds on the monotonic clock. */
	readonly now: number;
};
