import {type ServerResponse} from 'node:http';
import {type Failure} from '@valehitch/core';
import {abortResponse, allowsResponseBody} from '@valehitch/transport';
import {type RouteKind} from '../configuration/routing-configuration.js';
import {AnswerBuffer} from './answer-buffer.js';
import {type EntryContext} from './entry-context.js';
import {type GatewayRequest, type Header} from './gateway-request.js';

/** Options of {@linkcode CallerAnswer}. */
export type CallerAnswerOptions = {
	readonly request: GatewayRequest;
	readonly response: ServerResponse;
	readonly kind: RouteKind;
	/** When the request arrived, in milliseconds on the monotonic clock. */
	readonly arrivedAt: number;
};

/** A complete answer of a backend server, with its body in memory. */
export type CompleteAnswer = {
	readonly status: number;
	readonly headers: readonly Header[];
	readonly body: Uint8Array;
	/** The length that the server states of the body, of which nothing is sent in answer to HEAD. */
	readonly statedLength?: string | undefined;
};

type CallerAnswerContext = Pick<EntryContext, 'clock' | 'dialect' | 'memory' | 'metrics'> & {readonly stop: Pick<EntryContext['stop'], 'closesConnection'>};

const millisecondsPerSecond = 1000;
const noContentStatus = 204;

/**
Writes the answer to one request to its caller.

@example
```ts
const answer = new CallerAnswer(context, {request, response, kind: 'safe', arrivedAt});
answer.refuse(failure('no-server', 'No server is available'));
```
*/
export class CallerAnswer {
	/** What the caller has not read yet. */
	readonly buffer: AnswerBuffer;
	readonly #context: CallerAnswerContext;
	readonly #options: CallerAnswerOptions;
	#hasBegun = false;
	#headAfter: number | undefined;

	constructor(context: CallerAnswerContext, options: CallerAnswerOptions) {
		this.#context = context;
		this.#options = options;
		this.buffer = new AnswerBuffer({
			response: options.response,
			memory: context.memory,
			onFull() {
				context.metrics.pausedAnswers.inc();
			},
		});
	}

	/** Whether a part of a stream was written to the caller. */
	get hasStarted(): boolean {
		return this.#hasBegun;
	}

	/** The time from the arrival of the request to the head of the answer, in milliseconds; undefined until the head is written. */
	get timeToHead(): number | undefined {
		return this.#headAfter;
	}

	/** The response to which events are written. */
	get response(): ServerResponse {
		return this.#options.response;
	}

	/**
	Writes the head of a stream. Later calls have no effect, so the head of the first server is kept when the stream resumes at another one.

	@param status The status.
	@param headers The headers.
	*/
	beginStream(status: number, headers: readonly Header[]): void {
		if (this.#hasBegun) {
			return;
		}

		this.#hasBegun = true;
		this.#writeHead(status, headers);
	}

	/** Ends a stream that is complete. */
	finishStream(): void {
		this.#options.response.end();
	}

	/** Aborts a stream, so that the caller cannot take it for a complete one. */
	abort(): void {
		abortResponse(this.#options.response);
	}

	/** Forwards the complete answer of a backend server. */
	forward(complete: CompleteAnswer): void {
		const {status, headers, body} = complete;
		const length = lengthOf(complete, this.#options.request);
		this.#writeHead(status, length === undefined ? headers : [...headers, ['Content-Length', length]]);
		this.#options.response.end(body);
		this.buffer.recordUnread();
	}

	/** Answers with a failure of the gateway itself. */
	refuse(failed: Failure): void {
		const {dialect, metrics} = this.#context;
		const {status, headers, body} = dialect.refuse(this.#options.request, failed);
		metrics.refusals.inc({kind: failed.kind});
		this.#writeHead(status, headers);
		this.#options.response.end(body);
	}

	#writeHead(status: number, headers: readonly Header[]): void {
		const {response, kind, arrivedAt} = this.#options;
		const {stop, metrics, clock} = this.#context;
		if (stop.closesConnection(response)) {
			response.shouldKeepAlive = false;
		}

		this.#headAfter = clock.monotonic() - arrivedAt;
		metrics.firstByte.observe({kind}, this.#headAfter / millisecondsPerSecond);
		response.sendDate = false;
		response.writeHead(status, headers.flat());
	}
}

/** Returns the length to state of an answer (RFC 9110, section 8.6); undefined for one that states none. */
function lengthOf({status, body, statedLength}: CompleteAnswer, {method}: GatewayRequest): string | undefined {
	if (allowsResponseBody(status, method)) {
		return String(body.byteLength);
	}

	return status === noContentStatus ? undefined : statedLength;
}
