import {type ServerId} from '@valehitch/core';

/** The work in progress at one backend server, over all entry instances. */
export type ServerWork = {
	/** The prompts that were sent and whose answers have not started, in milliseconds that a server of mean speed takes to process them. */
	readonly reading: number;
	/** The number of answers that are being generated. */
	readonly streams: number;
	/** The observed time to the first event over the expected one; 1 for a server of mean speed, 2 for one that takes twice as long. */
	readonly slowness: number;
};

/** The work of requests that entry instances hold back, for one priority. */
export type HeldWork = {
	/** The priority of the requests; 0 is the most urgent. */
	readonly priority: number;
	/** The processing time of their prompts, in milliseconds at a server of mean speed. */
	readonly milliseconds: number;
};

/** What an entry instance knows of the load of a pool of backend servers, over all entry instances. */
export type PoolPicture = {
	/** The age of the picture, in milliseconds; infinite if no control instance has sent one recently. */
	readonly age: number;
	/** Returns the work of all entry instances at a server, that of this one as it is now; undefined if the server is unknown. */
	readonly workAt: (server: ServerId) => ServerWork | undefined;
	/** The work that the other entry instances hold back, by priority. */
	readonly heldByOthers: readonly HeldWork[];
};
