import {type Failure, type ModelId} from '@valehitch/core';
import {type ResponseFraming} from '@valehitch/transport';
import {type CompleteAnswer} from './caller-answer.js';
import {type FallbackStream} from './fallback-answer.js';

/** The next step of a request after a send. */
export type OutcomeStep
	/** The request has ended in the meantime. */
	= | {readonly type: 'ended'}
	/** No connection was established, so the request has not run there. */
		| {readonly type: 'unreachable'}
	/** The request may no longer be sent to the server, or not as it was authorized, so it has not run. */
		| {readonly type: 'withheld'}
	/** The relay could not be used, so the request has not run, and nothing is known about the server. */
		| {readonly type: 'relay-unavailable'}
	/** A reused connection ended without an answer. The request may have run, and the server is not necessarily at fault. */
		| {readonly type: 'connection-lost'; readonly failed: Failure}
	/** The server reported that it did not run the request. */
		| {readonly type: 'not-run'; readonly failed: Failure}
	/** The request may have run; includes the error answer if it can be forwarded. */
		| {readonly type: 'failed'; readonly failed: Failure; readonly answer?: CompleteAnswer}
	/** A complete answer to forward. */
		| {readonly type: 'whole'; readonly answer: CompleteAnswer; readonly framing: ResponseFraming}
	/** The request escalates to a larger model. */
		| {readonly type: 'escalated'; readonly model: ModelId; readonly fallback: FallbackStream}
	/** The complete stream was forwarded. */
		| {readonly type: 'streamed'; readonly send: number; readonly confidence: number | undefined; readonly framing: ResponseFraming; readonly leftoverBytes: number};
