import {fakeAnswer} from '../fake-answer.js';
import {
	callService, type CallResult, chatStreamed, chatWhole,
} from '../http-client.js';
import {type PlannedRequest} from './schedule.js';
import {type Workload} from './workload.js';

/** What a caller saw of one request, over all its sends. */
export type CallerRecord = {
	readonly request: PlannedRequest;
	/** The results of the sends, in their order. */
	readonly sends: readonly CallResult[];
	/** The version that answered, as `MODEL@VERSION`; empty where none did or the call went to a service. */
	readonly version: string;
	/** Whether the last result is the whole and right answer. */
	readonly isWhole: boolean;
	/** Whether an answer came to its end with another text. */
	readonly isWrong: boolean;
	/** Whether the version was bad when the answer came. */
	readonly isBad: boolean;
	/** Milliseconds from the first send to the first token of the answer; the last byte where it was not streamed. */
	readonly firstTokenMilliseconds: number;
	/** Milliseconds from the first send to the last byte. */
	readonly totalMilliseconds: number;
};

/** How a caller reaches a system. */
export type CallerOptions = {
	readonly workload: Workload;
	/** The addresses of the entry instances. */
	readonly entries: readonly string[];
	/** Tells whether a version is bad now. */
	readonly isBad: (version: string) => boolean;
};

const mostSends = 3;
const graceMilliseconds = 2000;

/**
Sends a request as a caller does: to one entry instance, and once more to another where the connection broke, under the same idempotency key.

@param request The request.
@param options How to reach the system.
@returns What the caller saw.
@example
```ts
const record = await callAsCaller(request, {workload, entries, isBad: () => false});
```
*/
export async function callAsCaller(request: PlannedRequest, options: CallerOptions): Promise<CallerRecord> {
	const startedAt = performance.now();
	const sends: CallResult[] = [];
	let lastStartedAt = startedAt;
	for (let send = 0; send < mostSends; send++) {
		lastStartedAt = performance.now();
		const result = await sendOnce(request, {...options, entry: options.entries[(request.turn + send) % options.entries.length] ?? ''});
		sends.push(result);
		if (result.connectionError === undefined) {
			break;
		}
	}

	const last = sends.at(-1);
	const version = `${headerOf(last, 'valehitch-model')}@${headerOf(last, 'valehitch-version')}`;
	const isRight = last?.done === true && last.text === wantedText(request, {version, last, workload: options.workload});
	const totalMilliseconds = performance.now() - startedAt;
	return {
		request,
		sends,
		version: version === '@' ? '' : version,
		isWhole: isRight,
		isWrong: last?.done === true && !isRight,
		isBad: options.isBad(version),
		firstTokenMilliseconds: last?.firstTokenMilliseconds === undefined ? totalMilliseconds : lastStartedAt - startedAt + last.firstTokenMilliseconds,
		totalMilliseconds,
	};
}

type Send = CallerOptions & {readonly entry: string};

async function sendOnce({kind, id, workspace: {key}, messages}: PlannedRequest, {workload, entry}: Send): Promise<CallResult> {
	const headers = {'Valehitch-Class': kind.class, 'Idempotency-Key': id};
	const timeoutMilliseconds = kind.deadlineMilliseconds + graceMilliseconds;
	if (kind.form === 'call') {
		return callService(entry, {
			key, headers, timeoutMilliseconds, service: workload.service, path: workload.servicePath, body: callBody(id),
		});
	}

	const chat = kind.form === 'streamed' ? chatStreamed : chatWhole;
	return chat(entry, {
		key, headers, timeoutMilliseconds, messages, maxTokens: kind.maxTokens,
	});
}

type Answered = {readonly version: string; readonly last: CallResult; readonly workload: Workload};

function wantedText({kind, id, messages}: PlannedRequest, {version, last, workload}: Answered): string {
	if (kind.form === 'call') {
		return last.text.includes(JSON.stringify(callBody(id))) ? last.text : '';
	}

	const longest = workload.speeds[version.split('@')[0] ?? '']?.answerTokens ?? 0;
	return fakeAnswer({version, messages, tokens: Math.min(kind.maxTokens, longest)}).join('');
}

function callBody(id: string): string {
	return JSON.stringify({print: id});
}

function headerOf(result: CallResult | undefined, name: string): string {
	const value = result?.headers[name];
	return typeof value === 'string' ? value : '';
}
