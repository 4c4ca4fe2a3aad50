import {type IncomingHttpHeaders, type IncomingMessage} from 'node:http';
import {text} from 'node:stream/consumers';
import {createParser} from 'eventsource-parser';
import * as z from 'zod';
import {wireNames} from './_wire-names.js';
import {type ChatMessage} from './fake-answer.js';
import {openRequest, sendRequest} from './send-request.js';

/** What every call of a caller may carry. */
export type CallerOptions = {
	/** The workspace's key. */
	readonly key: string;
	/** Further request headers, such as `Valehitch-Class`. */
	readonly headers?: Readonly<Record<string, string>>;
	/** Cancels the call. */
	readonly signal?: AbortSignal;
	/** Milliseconds until the call is given up; 30 000 by default. */
	readonly timeoutMilliseconds?: number;
};

/** A chat request. */
export type ChatOptions = CallerOptions & {
	readonly messages: readonly ChatMessage[];
	/** `auto` by default. */
	readonly model?: string;
	readonly maxTokens?: number;
};

/** A call to a plain service. */
export type ServiceCallOptions = CallerOptions & {
	readonly service: string;
	/** The path under the service, with a slash at the start. */
	readonly path: string;
	/** POST by default. */
	readonly method?: string;
	readonly body?: string;
};

/** The members of problem details that tests ask about. */
export type Problem = z.infer<typeof problemSchema>;

/** The tokens that an answer reports. */
export type ReportedUsage = z.infer<typeof usageSchema>;

/** What came of a call. */
export type CallResult = {
	/** The status, or 0 where no answer came. */
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	/** `Valehitch-Request-Id`, or an empty text. */
	readonly requestId: string;
	/** The answer's text, whole or as far as it came. */
	readonly text: string;
	/** Whether the answer came to its proper end with a status of 200 to 299. */
	readonly done: boolean;
	readonly usage?: ReportedUsage | undefined;
	readonly problem?: Problem | undefined;
	/** Why the connection failed, where it did. */
	readonly connectionError?: string;
	/** Milliseconds to the first token of a streamed answer. */
	readonly firstTokenMilliseconds?: number | undefined;
	readonly totalMilliseconds: number;
};

type Reading = Pick<CallResult, 'text' | 'done' | 'usage' | 'problem' | 'connectionError' | 'firstTokenMilliseconds'>;

const usageSchema = z.object({[wireNames.promptTokens]: z.number(), [wireNames.completionTokens]: z.number()})
	.transform(usage => ({promptTokens: usage[wireNames.promptTokens], completionTokens: usage[wireNames.completionTokens]}));
const problemSchema = z.object({
	kind: z.string(), outcome: z.string().optional(), detail: z.string().optional(), requestId: z.string().optional(),
});
const wholeSchema = z.object({
	choices: z.array(z.object({message: z.object({content: z.string()})})).min(1),
	usage: usageSchema.optional(),
});
const chunkSchema = z.object({
	choices: z.array(z.object({delta: z.object({content: z.string().optional()})})).default([]),
	usage: usageSchema.nullish(),
});
const noAnswer = {
	status: 0, headers: {}, requestId: '', text: '', done: false,
};

/**
Asks for a chat answer in one piece.

@param address The address of an entry instance, or of an engine.
@param options The request.
@returns What came of it; a failed connection is a result too.
@example
```ts
const {text} = await chatWhole('http://127.0.0.1:8080', {key: 'yard-key', messages: [{role: 'user', content: 'Tag this'}]});
```
*/
export async function chatWhole(address: string, options: ChatOptions): Promise<CallResult> {
	return call(async () => openChat(address, {...options, stream: false}), readWhole);
}

/**
Asks for a streamed chat answer and reads it to its end.

@param address The address of an entry instance, or of an engine.
@param options The request.
@returns What came of it; a cut stream is a result with `done` false.
@example
```ts
const {done} = await chatStreamed('http://127.0.0.1:8080', {key: 'yard-key', messages: [{role: 'user', content: 'Tag this'}]});
```
*/
export async function chatStreamed(address: string, options: ChatOptions): Promise<CallResult> {
	return call(async () => openChat(address, {...options, stream: true}), readStreamed);
}

/**
Calls a plain service through an entry instance.

@param address The address of an entry instance.
@param options The call.
@returns What came of it; `text` is the body.
@example
```ts
const {status} = await callService('http://127.0.0.1:8080', {key: 'yard-key', service: 'labels', path: '/print', body: '{}', headers: {'Idempotency-Key': 'print-1'}});
```
*/
export async function callService(address: string, options: ServiceCallOptions): Promise<CallResult> {
	return call(async () => openRequest(`${address}/services/${options.service}${options.path}`, {
		...passedOn(options),
		method: options.method ?? 'POST',
		...(options.body !== undefined && {body: options.body}),
	}), async answer => ({text: await text(answer), done: true}));
}

/**
Calls an operators' interface.

@param url The whole address.
@param options The key, and the document to send where there is one, by PUT unless `method` says otherwise.
@returns The status and the parsed body.
@example
```ts
const {body} = await callOperator('http://127.0.0.1:8082/v1/status', {key: 'operator-key'});
```
*/
export async function callOperator(url: string, options: CallerOptions & {readonly document?: unknown; readonly method?: string}): Promise<{readonly status: number; readonly body: unknown}> {
	const answer = await sendRequest(url, {
		...passedOn(options),
		...(options.document !== undefined && {method: options.method ?? 'PUT', body: JSON.stringify(options.document)}),
	});
	return {status: answer.status, body: parseJson(answer.body)};
}

async function openChat(address: string, options: ChatOptions & {readonly stream: boolean}): Promise<IncomingMessage> {
	const body = JSON.stringify({
		model: options.model ?? 'auto', messages: options.messages, stream: options.stream, [wireNames.maxTokens]: options.maxTokens,
	});
	return openRequest(`${address}/v1/chat/completions`, {...passedOn(options), method: 'POST', body});
}

function passedOn({key, headers, signal, timeoutMilliseconds}: CallerOptions) {
	return {
		headers: {authorization: `Bearer ${key}`, ...headers},
		signal,
		...(timeoutMilliseconds !== undefined && {timeoutMilliseconds}),
	};
}

async function call(open: () => Promise<IncomingMessage>, read: (answer: IncomingMessage, startedAt: number) => Promise<Reading>): Promise<CallResult> {
	const startedAt = performance.now();
	try {
		const answer = await open();
		const reading = await readAnswer(answer, async () => read(answer, startedAt));
		const requestId = answer.headers['valehitch-request-id'];
		return {
			status: answer.statusCode ?? 0,
			headers: answer.headers,
			requestId: typeof requestId === 'string' ? requestId : '',
			...reading,
			totalMilliseconds: performance.now() - startedAt,
		};
	} catch (error) {
		return {...noAnswer, connectionError: String(error), totalMilliseconds: performance.now() - startedAt};
	}
}

async function readAnswer(answer: IncomingMessage, read: () => Promise<Reading>): Promise<Reading> {
	const status = answer.statusCode ?? 0;
	try {
		return status >= 200 && status < 300 ? await read() : problemReading(await text(answer));
	} catch (error) {
		return {text: '', done: false, connectionError: String(error)};
	}
}

function problemReading(body: string): Reading {
	return {text: body, done: false, problem: problemSchema.safeParse(parseJson(body)).data};
}

async function readWhole(answer: IncomingMessage): Promise<Reading> {
	const {choices, usage} = wholeSchema.parse(JSON.parse(await text(answer)));
	return {text: choices[0]?.message.content ?? '', done: true, usage};
}

async function readStreamed(answer: IncomingMessage, startedAt: number): Promise<Reading> {
	const reading: {-readonly [Member in keyof Reading]: Reading[Member]} = {text: '', done: false};
	const parser = createParser({
		onEvent({data}) {
			if (data === '[DONE]') {
				reading.done = true;
				return;
			}

			const event = parseJson(data);
			reading.problem ??= problemSchema.safeParse(event).data;
			const chunk = chunkSchema.safeParse(event).data;
			const content = chunk?.choices[0]?.delta.content ?? '';
			reading.usage = chunk?.usage ?? reading.usage;
			reading.text += content;
			if (content !== '') {
				reading.firstTokenMilliseconds ??= performance.now() - startedAt;
			}
		},
	});
	answer.setEncoding('utf8');
	try {
		for await (const piece of answer) {
			parser.feed(String(piece));
		}
	} catch (error) {
		reading.connectionError = String(error);
	}

	reading.done &&= reading.problem === undefined;
	return reading;
}

function parseJson(body: string): unknown {
	try {
		return JSON.parse(body);
	} catch {
		return undefined;
	}
}
