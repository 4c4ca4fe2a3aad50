import {once} from 'node:events';
import {request as startRequest, type IncomingHttpHeaders, type IncomingMessage} from 'node:http';
import {text} from 'node:stream/consumers';

/** One HTTP request of a test. */
export type SendRequestOptions = {
	/** GET by default. */
	readonly method?: string;
	readonly headers?: Readonly<Record<string, string>>;
	/** The body as text; a JSON one where the headers name no other type. */
	readonly body?: string;
	/** Cancels the request. */
	readonly signal?: AbortSignal | undefined;
	/** Milliseconds until it is given up; 30 000 by default. */
	readonly timeoutMilliseconds?: number;
};

/** A whole HTTP answer. */
export type TextAnswer = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly body: string;
};

const defaultTimeoutMilliseconds = 30_000;

/**
Sends a request over its own connection and gives the answer as soon as its headers are there.

@param url The whole address.
@param options The request.
@returns The answer, whose body is still to be read.
@example
```ts
const answer = await openRequest('http://127.0.0.1:8080/healthz');
```
*/
export async function openRequest(url: string, options: SendRequestOptions = {}): Promise<IncomingMessage> {
	const timeout = AbortSignal.timeout(options.timeoutMilliseconds ?? defaultTimeoutMilliseconds);
	const sent = startRequest(url, {
		agent: false,
		method: options.method ?? 'GET',
		headers: options.body === undefined ? {...options.headers} : {'content-type': 'application/json', ...options.headers},
		signal: options.signal ? AbortSignal.any([options.signal, timeout]) : timeout,
	});
	const answered = once(sent, 'response');
	sent.end(options.body);
	const [answer] = await answered as [IncomingMessage];
	sent.on('error', ignoreLateError);
	return answer;
}

/**
Sends a request and reads the whole answer.

@param url The whole address.
@param options The request.
@returns The answer.
@example
```ts
const {status} = await sendRequest('http://127.0.0.1:8080/healthz');
```
*/
export async function sendRequest(url: string, options: SendRequestOptions = {}): Promise<TextAnswer> {
	const answer = await openRequest(url, options);
	return {status: answer.statusCode ?? 0, headers: answer.headers, body: await text(answer)};
}

// After the headers, the reader of the body gets the same error.
function ignoreLateError(): void {
	// Nothing to do.
}
