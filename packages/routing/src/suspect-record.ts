import {type RequestFingerprint} from '@valehitch/core';

/** One process of a backend server that ended while it had the request. */
export type ServerEnd = {
	/** Names the process: a server that started again under its id is another one. */
	readonly process: string;
	/** When it ended, in milliseconds since the epoch on the clock of the instance that saw it. */
	readonly at: number;
	/** Whether a server has answered the request whole since, so that this end says nothing against it. */
	readonly isCleared: boolean;
};

/** A request under which servers ended; records of several instances are merged by their union. */
export type SuspectRecord = {
	readonly fingerprint: RequestFingerprint;
	readonly ends: readonly ServerEnd[];
};

/**
What follows from the ends under a request:

- `unknown`: nothing;
- `suspect`: one end; it is sent on, away from the home of its prompt, where the requests are that were beside it;
- `doubtful`: two; besides, one server at a time works on it;
- `quarantined`: three; it is sent to no server.
*/
export type SuspectStanding = 'unknown' | 'suspect' | 'doubtful' | 'quarantined';
