import {type ServerId} from '@valehitch/core';
import {type HeldWork} from './pool-picture.js';

/** The work at one backend server as it is sent between instances, in whole numbers: the milliseconds of unanswered prompts, the answers that are being generated, and the recent observed and expected milliseconds to the first event. */
export type WorkRow = readonly [server: ServerId, reading: number, streams: number, observed: number, expected: number];

/** The work that some entry instances have put on servers, and the work that they hold back. */
export type WorkSums = {
	/** The work by server; servers with nothing are left out. */
	readonly rows: readonly WorkRow[];
	/** The held work by priority. */
	readonly held: readonly HeldWork[];
};

/** The work of an instance as of one report. A report replaces the one before, so that lost, repeated and reordered reports do no harm. */
export type WorkPart = WorkSums & {
	/** Identifies the run of the process that reports. */
	readonly run: string;
	/** Rises with each report of a run. */
	readonly sequence: number;
	/** The number of entry instances whose work is summed up; 1 by default. */
	readonly entries?: number;
	/** The mean age of their work when the report was sent, in milliseconds; 0 by default. */
	readonly age?: number;
};
