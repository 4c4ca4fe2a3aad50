import {type ModelId} from '@valehitch/core';
import {type HeldBytes} from '@valehitch/routing';
import {type Relay} from '@valehitch/transport';
import {type Route} from '../configuration/routing-configuration.js';
import {type ServerRecord} from '../servers/server-record.js';
import {type AnswerPatience} from './answer-patience.js';
import {type CallerAnswer} from './caller-answer.js';
import {type EntryContext} from './entry-context.js';
import {type EventStream} from './event-stream.js';
import {type AnswerHead, type GatewayRequest} from './gateway-request.js';
import {type ModelCascade} from './model-cascade.js';
import {type RunProgress} from './run-progress.js';
import {type SendResults} from './send-results.js';
import {type StalledStream} from './stalled-answer.js';
import {type SuspectRequest} from './suspect-request.js';

/** Options of `handleOutcome` and `forwardStream`. */
export type HandleOutcomeOptions = {
	readonly context: EntryContext;
	readonly request: GatewayRequest;
	/** The request as a possible cause of server crashes. */
	readonly suspect: SuspectRequest;
	readonly route: Route;
	readonly models: ModelCascade;
	readonly results: SendResults;
	/** Where events and pauses are recorded. */
	readonly progress: Pick<RunProgress, 'recordEvents' | 'recordStep'>;
	readonly answer: CallerAnswer;
	readonly events: EventStream;
	/** The bytes that are held for the request. */
	readonly held: HeldBytes;
	readonly server: ServerRecord;
	/** The instance through which the server was reached; undefined for this instance's own links. */
	readonly relay?: Relay | undefined;
	/** When the request was sent, in milliseconds on the monotonic clock. */
	readonly sentAt: number;
	/** The number of the send among those of the request. */
	readonly send: number;
	/** The deadline of the request, in milliseconds on the monotonic clock. */
	readonly deadlineAt: number;
	/** How long the heads of answers are waited for; undefined for a stream that was kept. */
	readonly patience?: AnswerPatience | undefined;
	/** The time to the first event that was expected at the send of a server of mean speed, in milliseconds; undefined if it was not known. */
	readonly expected?: number | undefined;
	/** Whether the request has ended in the meantime. */
	readonly hasEnded: () => boolean;
	/** Called when the head of a success arrives. */
	readonly onGoodHead: () => void;
	/** Called when a stream of this server is accepted, before its first event is forwarded. */
	readonly onStreamStart: () => void;
	/** Called when the stream of this server is forwarded, which ends that of a stalled one after a time; returns a function that stops this, called when the stream ends. */
	readonly startHandover: () => () => void;
	/** Called before the first event of this server is forwarded. */
	readonly onFirstEvent: () => void;
	/** Whether a stalled stream of this server can resume at another one. */
	readonly canResumeElsewhere: () => boolean;
	/** Keeps a stalled stream, while another server is asked to continue it. */
	readonly keepStalled: (stream: StalledStream) => void;
	/** Whether a stalled stream has continued at its earlier server, so that this send is not needed. */
	readonly isSuperseded: () => boolean;
	/** Whether the fallback answer is due and the server has sent no event, so that its stream was ended. */
	readonly isTooLate: () => boolean;
	/** Returns the model that the request escalates to; undefined if the answer is good enough or no retry is left. */
	readonly chooseLarger: (head: AnswerHead, latency: number) => ModelId | undefined;
};
