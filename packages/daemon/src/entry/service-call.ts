import {type IncomingHttpHeaders, type OutgoingHttpHeaders} from 'node:http';
import {type RequestId} from '@valehitch/core';
import {
	type HttpResponse, type HttpRequestFailure, readResponseBody,
} from '@valehitch/transport';
import {type AnswerHead, type AttemptOutput} from './attempt-output.js';
import {readNotRun} from './not-run.js';
import {type SendRequest} from './request-sender.js';
import {failedCallOutput} from './failed-call-output.js';

/** A single attempt to call an instance of a plain service. */
export type ServiceCall = {
	readonly requestId: RequestId;
	readonly attempt: number;
	readonly method: string;
	/** The path with the query, without the prefix of the service. */
	readonly path: string;
	/** The caller's headers. */
	readonly headers: IncomingHttpHeaders;
	readonly body: Uint8Array;
	/** Whether the call may be repeated; a call that may not always opens a new connection. */
	readonly repeatable: boolean;
	/** Whether the attempt must open a new connection even if the call may be repeated. */
	readonly freshConnection: boolean;
	/** Sends the request over a path that reaches the server. */
	readonly send: SendRequest;
	/** The base address of the instance. */
	readonly address: string;
	/** Aborts the attempt and destroys its connection. */
	readonly signal: AbortSignal;
	/** The maximum size of the answer, in bytes. */
	readonly maximumBytes: number;
};

const headersToService = ['content-type', 'accept', 'idempotency-key'] as const;
const headersToCaller = ['content-type', 'content-language', 'location', 'etag', 'last-modified', 'cache-control'] as const;

/**
Calls an instance of a plain service.

Any response except one that reports that the call did not run is forwarded as the service's answer, whatever its status.

@param call The call.
@returns The outputs of the attempt; the last one is its result.
@example
```ts
for await (const output of callService(call)) { ... }
```
*/
export async function * callService(call: ServiceCall): AsyncGenerator<AttemptOutput, void> {
	const answer = await call.send({
		address: call.address,
		method: call.method,
		path: call.path,
		headers: headersOf(call),
		body: call.body,
		signal: call.signal,
		reuseConnection: call.repeatable && !call.freshConnection,
	});
	if (answer.isRight()) {
		yield * readAnswer(answer.extract(), call);
		return;
	}

	yield failedCallOutput(answer.extract() as HttpRequestFailure, 'service');
}

async function * readAnswer(answer: HttpResponse, call: ServiceCall): AsyncGenerator<AttemptOutput, void> {
	const notRun = readNotRun(answer);
	if (notRun !== undefined) {
		yield notRun;
		return;
	}

	const body = await readResponseBody(answer, call.maximumBytes);
	if (body.isLeft()) {
		yield {type: 'broken', message: 'Response from the service is incomplete'};
		return;
	}

	const payload = body.extract() as Uint8Array;
	const length = payload.byteLength;
	yield {type: 'head', head: headOf(answer, length)};
	if (length > 0) {
		yield {
			type: 'piece', piece: {
				offset: 0, length, tokens: 0, payload,
			},
		};
	}

	yield {
		type: 'complete', offset: length, usage: {input: 0, output: 0}, trailer: '',
	};
}

function headOf({status, headers}: HttpResponse, length: number): AnswerHead {
	return {status, headers: {...selectHeaders(headers, headersToCaller), ...(length > 0 && {'content-length': String(length)})}};
}

function headersOf({headers, requestId, attempt}: ServiceCall): OutgoingHttpHeaders {
	return {
		...selectHeaders(headers, headersToService),
		'valehitch-request-id': requestId,
		'valehitch-attempt': String(attempt),
	};
}

function selectHeaders(headers: IncomingHttpHeaders, names: readonly string[]): Record<string, string> {
	const selected: Record<string, string> = {};
	for (const name of names) {
		const value = headers[name];
		if (typeof value === 'string') {
			selected[name] = value;
		}
	}

	return selected;
}
