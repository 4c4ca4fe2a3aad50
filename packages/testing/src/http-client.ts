import {type IncomingHttpHeaders, type IncomingMessage} from 'node:http';
import {text} from 'node:stream/consumers';
import {createParser} from 'eventsource-parser';
import * as z from 'zod';
import {wireNames} from './_wire-names.js';
import {type ChatMessage} from './fake-answer.js';
import {openRequest, sendRequest} from './send-request.js';

/** Options common to all calls. */
export type CallerOptions = {
	/** The workspace's key. */
	readonly key: string;
	/** Further request headers, such as `Valehitch-Class`. */
	readonly headers?: Readonly<Record<string, string>>;
	/** Cancels the call. */
	readonly signal?: AbortSignal;
	/** Timeout of the call in milliseconds; 30 000 by default. */
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
	/** The path within the service, with a leading slash. */
	readonly path: string;
	/** POST by default. */
	readonly method?: string;
	readonly body?: string;
};

/** The members of problem details that tests read. */
export type ProblemDetails = z.infer<typeof problemSchema>;

/** The token counts that a response reports. */
export type ReportedUsage = z.infer<typeof usageSchema>;

/** The result of a call. */
export type CallResult = {
	/** The HTTP status, or 0 if no response was received. */
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	/** `Valehitch-Request-Id`, or an empty string. */
	readonly requestId: string;
	/** The response text, possibly incomplete. */
	readonly text: string;
	/** Whether a response with a status from 200 to 299 was received completely. */
	readonly done: boolean;
	readonly usage?: ReportedUsage | undefined;
	readonly problem?: ProblemDetails | undefined;
	/** Why the connection failed, if it did. */
	readonly connectionError?: string;
	/** Milliseconds to the first token of a streamed response. */
	readonly firstTokenMilliseconds?: number | undefined;
	readonly totalMilliseconds: number;
};

type ResponseContent = Pick<CallResult, 'text' | 'done' | 'usage' | 'problem' | 'connectionError' | 'firstTokenMilliseconds'>;

const usageSchema = z.object({[wireNames.promptTokens]: z.number(), [wireNames.completionTokens]: z.number()})
	.transform(usage => ({promptTokens: usage[wireNames.promptTokens], completionTokens: usage[wireNames.completionTokens]}));
const problemSchema = z.object({
	kind: z.string(), outcome: z.string().optional(), detail: z.string().optional(), requestId: z.string().optional(),
});
const completionSchema = z.object({
	choices: z.array(z.object({message: z.object({content: z.string()})})).min(1),
	usage: usageSchema.optional(),
});
const chunkSchema = z.object({
	choices: z.array(z.object({delta: z.object({content: z.string().optional()})})).default([]),
	usage: usageSchema.nullish(),
});
const noResponse = {
	status: 0, headers: {}, requestId: '', text: '', done: false,
};

/**
Requests an unstreamed chat response.

@param address The address of an entry instance, or of an engine.
@param options The request.
@returns The result; a failed connection does not throw.
@example
```ts
const {text} = await requestChat('http://127.0.0.1:8080', {key: 'yard-key', messages: [{role: 'user', content: 'Tag this'}]});
```
*/
export async function requestChat(address: string, options: ChatOptions): Promise<CallResult> {
	return call(async () => openChat(address, {...options, stream: false}), readUnstreamed);
}

/**
Requests a streamed chat response and reads it to its end.

@param address The address of an entry instance, or of an engine.
@param options The request.
@returns The result; an interrupted stream has `done` set to false.
@example
```ts
const {done} = await requestChatStream('http://127.0.0.1:8080', {key: 'yard-key', messages: [{role: 'user', content: 'Tag this'}]});
```
*/
export async function requestChatStream(address: string, options: ChatOptions): Promise<CallResult> {
	return call(async () => openChat(address, {...options, stream: true}), readStreamed);
}

/**
Calls a plain service through an entry instance.

@param address The address of an entry instance.
@param options The call.
@returns The result; `text` is the body.
@example
```ts
const {status} = await callService('http://127.0.0.1:8080', {key: 'yard-key', service: 'labels', path: '/print', body: '{}', headers: {'Idempotency-Key': 'print-1'}});
```
*/
export async function callService(address: string, options: ServiceCallOptions): Promise<CallResult> {
	return call(async () => openRequest(`${address}/services/${options.service}${options.path}`, {
		...requestOptionsOf(options),
		method: options.method ?? 'POST',
		...(options.body !== undefined && {body: options.body}),
	}), async response => ({text: await text(response), done: true}));
}

/**
Calls the operators' interface.

@param url The full URL.
@param options The key, and optionally a document to send, with PUT unless `method` is given.
@returns The status and the parsed body.
@example
```ts
const {body} = await callOperator('http://127.0.0.1:8082/v1/status', {key: 'operator-key'});
```
*/
export async function callOperator(url: string, options: CallerOptions & {readonly document?: unknown; readonly method?: string}): Promise<{readonly status: number; readonly body: unknown}> {
	const response = await sendRequest(url, {
		...requestOptionsOf(options),
		...(options.document !== undefined && {method: options.method ?? 'PUT', body: JSON.stringify(options.document)}),
	});
	return {status: response.status, body: parseJson(response.body)};
}

async function openChat(address: string, options: ChatOptions & {readonly stream: boolean}): Promise<IncomingMessage> {
	const body = JSON.stringify({
		model: options.model ?? 'auto', messages: options.messages, stream: options.stream, [wireNames.maxTokens]: options.maxTokens,
	});
	return openRequest(`${address}/v1/chat/completions`, {...requestOptionsOf(options), method: 'POST', body});
}

function requestOptionsOf({key, headers, signal, timeoutMilliseconds}: CallerOptions) {
	return {
		headers: {authorization: `Bearer ${key}`, ...headers},
		signal,
		...(timeoutMilliseconds !== undefined && {timeoutMilliseconds}),
	};
}

async function call(open: () => Promise<IncomingMessage>, read: (response: IncomingMessage, startedAt: number) => Promise<ResponseContent>): Promise<CallResult> {
	const startedAt = performance.now();
	try {
		const response = await open();
		const content = await readResponse(response, async () => read(response, startedAt));
		const requestId = response.headers['valehitch-request-id'];
		return {
			status: response.statusCode ?? 0,
			headers: response.headers,
			requestId: typeof requestId === 'string' ? requestId : '',
			...content,
			totalMilliseconds: performance.now() - startedAt,
		};
	} catch (error) {
		return {...noResponse, connectionError: String(error), totalMilliseconds: performance.now() - startedAt};
	}
}

async function readResponse(response: IncomingMessage, read: () => Promise<ResponseContent>): Promise<ResponseContent> {
	const status = response.statusCode ?? 0;
	try {
		return status >= 200 && status < 300 ? await read() : problemContent(await text(response));
	} catch (error) {
		return {text: '', done: false, connectionError: String(error)};
	}
}

function problemContent(body: string): ResponseContent {
	return {text: body, done: false, problem: problemSchema.safeParse(parseJson(body)).data};
}

async function readUnstreamed(response: IncomingMessage): Promise<ResponseContent> {
	const {choices, usage} = completionSchema.parse(JSON.parse(await text(response)));
	return {text: choices[0]?.message.content ?? '', done: true, usage};
}

async function readStreamed(response: IncomingMessage, startedAt: number): Promise<ResponseContent> {
	const content: {-readonly [Member in keyof ResponseContent]: ResponseContent[Member]} = {text: '', done: false};
	const parser = createParser({
		onEvent({data}) {
			if (data === '[DONE]') {
				content.done = true;
				return;
			}

			const event = parseJson(data);
			content.problem ??= problemSchema.safeParse(event).data;
			const chunk = chunkSchema.safeParse(event).data;
			const delta = chunk?.choices[0]?.delta.content ?? '';
			content.usage = chunk?.usage ?? content.usage;
			content.text += delta;
			if (delta !== '') {
				content.firstTokenMilliseconds ??= performance.now() - startedAt;
			}
		},
	});
	response.setEncoding('utf8');
	try {
		for await (const piece of response) {
			parser.feed(String(piece));
		}
	} catch (error) {
		content.connectionError = String(error);
	}

	content.done &&= content.problem === undefined;
	return content;
}

function parseJson(body: string): unknown {
	try {
		return JSON.parse(body);
	} catch {
		return undefined;
	}
}
