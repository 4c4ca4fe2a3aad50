import {type PromptPartFingerprint, type SuspectFingerprint} from '@valehitch/core';

/** A process of a backend server that exited while the request was in progress on it. */
export type ServerExit = {
	/** Identifies the process; a server that restarts under the same id is a different process. */
	readonly process: string;
	/** When it exited, in milliseconds since the epoch on the clock of the instance that observed it. */
	readonly at: number;
	/** Whether a server has since answered the request completely, so that this exit no longer counts against it. */
	readonly isCleared: boolean;
};

/** A request, or a part of prompts, during which server processes exited; records of several instances are merged by union. */
export type SuspectRecord = {
	readonly fingerprint: SuspectFingerprint;
	readonly ends: readonly ServerExit[];
	/** The parts of the prompt of a request that other prompts can have too; undefined for parts, and where an earlier version recorded it. */
	readonly parts?: readonly PromptPartFingerprint[] | undefined;
	/** The position of a part in prompts, from 0; undefined for requests, and where an earlier version passed it on. */
	readonly depth?: number | undefined;
	/** When a server last answered a prompt with a part completely, in milliseconds since the epoch; undefined if that is not known. */
	readonly answeredAt?: number | undefined;
};

/**
How a request is treated after server processes exited during it, or during others with a part of its prompt:

- `unknown`: no exit; it is routed as usual;
- `suspect`: one exit; it is retried, but not on the preferred server of its prompt prefix, where the requests that were in progress beside it go;
- `doubtful`: two exits; additionally, it runs on one server at a time;
- `quarantined`: three exits; it is sent to no server.
*/
export type SuspectStatus = 'unknown' | 'suspect' | 'doubtful' | 'quarantined';
