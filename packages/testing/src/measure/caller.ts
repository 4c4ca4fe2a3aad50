import {generateFakeTokens} from '../fake-answer.js';
import {
	callService, type CallResult, requestChatStream, requestChat,
} from '../http-client.js';
import {type PlannedRequest} from './schedule.js';
import {type Workload} from './workload.js';

/** The result of one request as its caller observed it, over all attempts. */
export type CallerRecord = {
	readonly request: PlannedRequest;
	/** The results of the attempts, in order. */
	readonly attempts: readonly CallResult[];
	/** The version that responded, as `MODEL@VERSION`; empty if none did or if the request called a service. */
	readonly version: string;
	/** Whether the last attempt returned the complete and expected response. */
	readonly isComplete: boolean;
	/** Whether a response completed with an unexpected text. */
	readonly isUnexpected: boolean;
	/** Whether the version was degraded when the response arrived. */
	readonly isDegraded: boolean;
	/** Milliseconds from the first attempt to the first token of the response, or to its last byte if it was not streamed. */
	readonly firstTokenMilliseconds: number;
	/** Milliseconds from the first attempt to the last byte. */
	readonly totalMilliseconds: number;
};

/** Options of `sendWithRetries`. */
export type CallerOptions = {
	readonly workload: Workload;
	/** The addresses of the entry instances. */
	readonly entries: readonly string[];
	/** Returns whether a version is degraded now. */
	readonly isVersionDegraded: (version: string) => boolean;
};

const maximumAttempts = 3;
/** How much longer than the deadline of a request the client waits for it. */
const timeoutMarginMilliseconds = 2000;

/**
Sends a request as a caller does: to one entry instance and, if the connection fails, to the next one with the same idempotency key, in up to three attempts.

@param request The request.
@param options The entry instances and the workload.
@returns The observed result.
@example
```ts
const record = await sendWithRetries(request, {workload, entries, isVersionDegraded: () => false});
```
*/
export async function sendWithRetries(request: PlannedRequest, options: CallerOptions): Promise<CallerRecord> {
	const startedAt = performance.now();
	const attempts: CallResult[] = [];
	let lastAttemptStartedAt = startedAt;
	for (let attempt = 0; attempt < maximumAttempts; attempt++) {
		lastAttemptStartedAt = performance.now();
		const result = await sendAttempt(request, {...options, entry: options.entries[(request.entryDraw + attempt) % options.entries.length] ?? ''});
		attempts.push(result);
		if (result.connectionError === undefined) {
			break;
		}
	}

	const last = attempts.at(-1);
	const version = `${headerOf(last, 'valehitch-model')}@${headerOf(last, 'valehitch-version')}`;
	const isExpected = last?.done === true && last.text === expectedText(request, {version, last, workload: options.workload});
	const totalMilliseconds = performance.now() - startedAt;
	return {
		request,
		attempts,
		version: version === '@' ? '' : version,
		isComplete: isExpected,
		isUnexpected: last?.done === true && !isExpected,
		isDegraded: options.isVersionDegraded(version),
		firstTokenMilliseconds: last?.firstTokenMilliseconds === undefined ? totalMilliseconds : lastAttemptStartedAt - startedAt + last.firstTokenMilliseconds,
		totalMilliseconds,
	};
}

type AttemptOptions = CallerOptions & {readonly entry: string};

async function sendAttempt({kind, id, workspace: {key}, messages}: PlannedRequest, {workload, entry}: AttemptOptions): Promise<CallResult> {
	const headers = {'Valehitch-Class': kind.class, 'Idempotency-Key': id};
	const timeoutMilliseconds = kind.deadlineMilliseconds + timeoutMarginMilliseconds;
	if (kind.form === 'call') {
		return callService(entry, {
			key, headers, timeoutMilliseconds, service: workload.service, path: workload.servicePath, body: callBody(id),
		});
	}

	const chat = kind.form === 'streamed' ? requestChatStream : requestChat;
	return chat(entry, {
		key, headers, timeoutMilliseconds, messages, maxTokens: kind.maxTokens,
	});
}

type ExpectedTextOptions = {readonly version: string; readonly last: CallResult; readonly workload: Workload};

function expectedText({kind, id, messages}: PlannedRequest, {version, last, workload}: ExpectedTextOptions): string {
	if (kind.form === 'call') {
		return last.text.includes(JSON.stringify(callBody(id))) ? last.text : '';
	}

	const modelMaxTokens = workload.speeds[version.split('@')[0] ?? '']?.answerTokens ?? 0;
	return generateFakeTokens({version, messages, tokens: Math.min(kind.maxTokens, modelMaxTokens)}).join('');
}

function callBody(id: string): string {
	return JSON.stringify({print: id});
}

function headerOf(result: CallResult | undefined, name: string): string {
	const value = result?.headers[name];
	return typeof value === 'string' ? value : '';
}
