import {type Clock, type RequestId, type TokenUsage} from '@valehitch/core';
import {type StalledDecision} from '@valehitch/routing';
import {discardResponse, type HttpResponse, readResponseBody} from '@valehitch/transport';
import {type AttemptOutput} from './attempt-output.js';
import {type ChatBody} from './chat-body.js';
import {readCompletionUsage} from './chat-chunk.js';
import {readEngineEvents} from './engine-events.js';
import {readNotRun} from './not-run.js';
import {reportStalls} from './report-stalls.js';
import {type SendRequest} from './request-sender.js';
import {StallTimer} from './stall-timer.js';
import {failedCallOutput} from './failed-call-output.js';

/** A single attempt to call an engine. */
export type EngineCall = {
	readonly requestId: RequestId;
	readonly attempt: number;
	/** The version, such as `tag-small@1.0`. */
	readonly versionKey: string;
	readonly body: ChatBody;
	readonly streamed: boolean;
	/** The priority sent to the engine; lower values are served first. */
	readonly priority: number;
	/** The text generated so far, which the engine continues; empty for a new answer. */
	readonly resumeText: string;
	/** The number of tokens in that text. */
	readonly tokensBefore: number;
	/** Sends the request over a path that reaches the server. */
	readonly send: SendRequest;
	/** The base address of the engine. */
	readonly address: string;
	/** Whether the attempt must open a new connection. */
	readonly freshConnection: boolean;
	/** Aborts the attempt and destroys its connection. */
	readonly signal: AbortSignal;
	readonly clock: Pick<Clock, 'monotonic'>;
	/** The longest pause of an answer that is on time, in milliseconds. */
	readonly stallMilliseconds: number;
	/** Decides on a longer pause, in milliseconds. */
	readonly reviewPause: (paused: number) => StalledDecision;
	/** The maximum size of the answer, in bytes. */
	readonly maximumBytes: number;
};

const streamHead = {status: 200, headers: {'Content-Type': 'text/event-stream', 'Cache-Control': 'no-store'}};
const okStatus = 200;

/**
Calls an engine with the chat-completions protocol.

The answer is read only as fast as the generator is consumed, so backpressure reaches the engine. Returning from the generator early destroys the connection.

@param call The call.
@returns The outputs of the attempt; the last one is its result.
@example
```ts
for await (const output of callEngine(call)) { ... }
```
*/
export async function * callEngine(call: EngineCall): AsyncGenerator<AttemptOutput, void> {
	const stall = new StallTimer(call.stallMilliseconds, call);
	yield * reportStalls(readOutputs(call, stall), {stall, review: call.reviewPause});
}

async function * readOutputs(call: EngineCall, stall: StallTimer): AsyncGenerator<AttemptOutput, void> {
	const answer = await call.send({
		address: call.address,
		method: 'POST',
		path: '/v1/chat/completions',
		headers: {
			'content-type': 'application/json',
			'valehitch-request-id': call.requestId,
			'valehitch-attempt': String(call.attempt),
			'valehitch-priority': String(call.priority),
		},
		body: new TextEncoder().encode(JSON.stringify(bodyOf(call))),
		signal: call.signal,
		reuseConnection: !call.freshConnection,
	});
	if (answer.isLeft()) {
		yield failedCallOutput(answer.extract(), 'engine');
		return;
	}

	stall.touch();
	yield * await readAnswer(answer.unsafeCoerce(), call, stall);
}

function bodyOf({body, versionKey, streamed, resumeText}: EngineCall): Record<string, unknown> {
	return {
		...body,
		model: versionKey,
		stream: streamed,
		...(resumeText !== '' && {resume: {text: resumeText}}),
	};
}

type Outputs = AsyncIterable<AttemptOutput> | readonly AttemptOutput[];

function readAnswer(answer: HttpResponse, call: EngineCall, stall: StallTimer): Outputs | Promise<Outputs> {
	const notRun = readNotRun(answer);
	if (notRun !== undefined) {
		return [notRun];
	}

	if (answer.status !== okStatus) {
		discardResponse(answer.message);
		return [{type: 'failed', message: `Engine responded with status ${answer.status}, expected 200`}];
	}

	if (call.streamed) {
		return readEngineEvents(answer.message, {
			head: streamHead,
			resumeFrom: call.resumeText.length,
			tokensBefore: call.tokensBefore,
			maximumBytes: call.maximumBytes,
			onBytes() {
				stall.touch();
			},
		});
	}

	return readCompletion(answer, call);
}

async function readCompletion(answer: HttpResponse, {maximumBytes}: EngineCall): Promise<readonly AttemptOutput[]> {
	const body = await readResponseBody(answer, maximumBytes);
	if (body.isLeft()) {
		return [{type: 'broken', message: 'Response from the engine is incomplete'}];
	}

	const payload = body.unsafeCoerce();
	const usage: TokenUsage | undefined = readCompletionUsage(payload);
	if (usage === undefined) {
		return [{type: 'failed', message: 'Response from the engine is not a chat completion'}];
	}

	const length = payload.byteLength;
	return [
		{type: 'head', head: {status: okStatus, headers: completionHeaders(length, answer.headers['valehitch-confidence'])}},
		{
			type: 'piece', piece: {
				offset: 0, length, tokens: usage.output, payload,
			},
		},
		{
			type: 'complete', offset: length, usage, trailer: '',
		},
	];
}

function completionHeaders(length: number, confidence: string | string[] | undefined): Record<string, string> {
	return {
		'Content-Type': 'application/json',
		'Content-Length': String(length),
		...(typeof confidence === 'string' && {'Valehitch-Confidence': confidence}),
	};
}
