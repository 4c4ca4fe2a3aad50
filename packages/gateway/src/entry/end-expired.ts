import {type ModelId} from '@valehitch/core';
import {type ServerRecord} from '../servers/server-record.js';
import {expiryFailure} from './expiry-failure.js';
import {type RequestEnd} from './request-end.js';
import {type CancellableSend} from './send-attempt.js';
import {type SendResults} from './send-results.js';

/** Options of {@linkcode endExpired}. */
export type EndExpiredOptions = {
	/** The current or last send; undefined if nothing was sent. */
	readonly sent: {readonly attempt: CancellableSend; readonly server: ServerRecord} | undefined;
	readonly results: Pick<SendResults, 'recordStall' | 'record'>;
	readonly model: ModelId | undefined;
	/** Whether the links of this instance are the likely reason for a missing answer. */
	readonly areLinksInDoubt: boolean;
	/** The time since the request arrived, in milliseconds. */
	readonly waited: number;
	/** The retry delay suggested to the caller, in milliseconds. */
	readonly retryAfter: number;
};

/**
Ends a request whose deadline has passed: cancels its send, records the result for the server, and reports to the caller whether the request may have run.

@param end The end of the request.
@param options The send and what is reported to the caller.
@example
```ts
endExpired(end, {sent, results, model, waited: 800, retryAfter: 250, areLinksInDoubt: false});
```
*/
export function endExpired(end: RequestEnd, {sent, results, model, waited, retryAfter, areLinksInDoubt}: EndExpiredOptions): void {
	if (end.hasEnded) {
		return;
	}

	const wasSent = sent?.attempt.isSent() === true;
	sent?.attempt.cancel();
	if (sent !== undefined && wasSent && areLinksInDoubt) {
		results.record(sent.server, 'unreachable');
		end.recordPossibleRun();
	} else if (sent !== undefined && wasSent) {
		// If the requests of a route may not be repeated, a hanging server is detected only here.
		results.recordStall(sent.server, model);
		end.recordPossibleRun();
	} else if (sent !== undefined) {
		results.record(sent.server, 'unreachable');
	}

	const {mayHaveRun, lastProblem} = end;
	end.fail(expiryFailure({
		mayHaveRun, waited: Math.round(waited), lastProblem, retryAfter,
	}));
}
