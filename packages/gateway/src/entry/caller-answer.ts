import {type ServerResponse} from 'node:http';
import {type Failure} from '@valehitch/core';
import {type RouteKind} from '../configuration/routing-configuration.js';
import {type EntryContext} from './entry-context.js';
import {type GatewayRequest, type Header} from './gateway-request.js';

/** The request that is answered. */
export type CallerAnswerOptions = {
	readonly request: GatewayRequest;
	readonly response: ServerResponse;
	readonly kind: RouteKind;
	/** Milliseconds on the monotonic clock. */
	readonly arrivedAt: number;
};

/** A whole answer of a backend server. */
export type WholeAnswer = {
	readonly status: number;
	readonly headers: readonly Header[];
	readonly body: Uint8Array;
};

const millisecondsPerSecond = 1000;

/**
Writes the answer of one request to its caller.

@example
```ts
const answer = new CallerAnswer(context, {request, response, kind: 'safe', arrivedAt});
answer.refuse(failure('no-server', 'Got none'));
```
*/
export class CallerAnswer {
	readonly #context: EntryContext;
	readonly #options: CallerAnswerOptions;
	#hasBegun = false;
	#headAfter: number | undefined;

	constructor(context: EntryContext, options: CallerAnswerOptions) {
		this.#context = context;
		this.#options = options;
	}

	/** Whether the caller has got a part of a stream. */
	get hasBegun(): boolean {
		return this.#hasBegun;
	}

	/** The time from the arrival to the head of the answer, in milliseconds; undefined before it. */
	get headAfter(): number | undefined {
		return this.#headAfter;
	}

	/** The response that events are written to. */
	get response(): ServerResponse {
		return this.#options.response;
	}

	/** Whether the caller is gone before its answer was written. */
	get isAbandoned(): boolean {
		return !this.#options.response.writableFinished;
	}

	/**
	Begins a stream; the head of the first server stays.

	@param status The status.
	@param headers The headers.
	*/
	begin(status: number, headers: readonly Header[]): void {
		if (this.#hasBegun) {
			return;
		}

		this.#hasBegun = true;
		this.#writeHead(status, headers);
	}

	/** Ends a stream that is complete. */
	finish(): void {
		this.#options.response.end();
	}

	/** Breaks a stream off, so that it cannot be taken for a complete one. */
	breakOff(): void {
		this.#options.response.destroy();
	}

	/** Passes on a whole answer of a backend server. */
	passOn({status, headers, body}: WholeAnswer): void {
		this.#writeHead(status, [...headers, ['Content-Length', String(body.byteLength)]]);
		this.#options.response.end(body);
	}

	/** Answers with a failure of our own. */
	refuse(failed: Failure): void {
		const {dialect, metrics} = this.#context;
		const {status, headers, body} = dialect.refuse(this.#options.request, failed);
		metrics.refusals.inc({kind: failed.kind});
		this.#writeHead(status, headers);
		this.#options.response.end(body);
	}

	#writeHead(status: number, headers: readonly Header[]): void {
		const {response, kind, arrivedAt} = this.#options;
		const {endsAt, metrics, clock} = this.#context;
		if (endsAt() !== undefined) {
			response.shouldKeepAlive = false;
		}

		this.#headAfter = clock.monotonic() - arrivedAt;
		metrics.firstByte.observe({kind}, this.#headAfter / millisecondsPerSecond);
		response.sendDate = false;
		response.writeHead(status, headers.flat());
	}
}
