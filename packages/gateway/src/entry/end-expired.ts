import {type ModelId} from '@valehitch/core';
import {type ServerRecord} from '../servers/server-record.js';
import {expiryFailure} from './expiry-failure.js';
import {type RequestEnd} from './request-end.js';
import {type SentAttempt} from './send-attempt.js';
import {type ServerVerdicts} from './server-verdicts.js';

/** The request whose time is over. */
export type EndExpiredOptions = {
	/** The send in progress, or the last one; undefined where there was none. */
	readonly sent: {readonly attempt: SentAttempt; readonly server: ServerRecord} | undefined;
	readonly verdicts: Pick<ServerVerdicts, 'failed' | 'record'>;
	readonly model: ModelId | undefined;
	/** How long the request was here, in milliseconds. */
	readonly waited: number;
	/** When a place should be free again, in milliseconds. */
	readonly retryAfter: number;
};

/**
Ends a request whose time is over: cancels its send, notes what that says of the server, and tells the caller whether it may have run.

@param end Ends the request.
@param options The request.
@example
```ts
endExpired(end, {sent, verdicts, model, waited: 800, retryAfter: 250});
```
*/
export function endExpired(end: RequestEnd, {sent, verdicts, model, waited, retryAfter}: EndExpiredOptions): void {
	if (end.isOver) {
		return;
	}

	const hasLeft = sent?.attempt.hasOpened() === true;
	sent?.attempt.cancel();
	if (sent !== undefined && hasLeft) {
		// A server that hangs shows in no other way where its requests may not be repeated.
		verdicts.failed(sent.server, model);
		end.noteRun();
	} else if (sent !== undefined) {
		verdicts.record(sent.server, 'unreachable');
	}

	const {mayHaveRun, lastProblem} = end;
	end.giveUp(expiryFailure({
		mayHaveRun, waited: Math.round(waited), lastProblem, retryAfter,
	}));
}
