import {once} from 'node:events';
import {request as startRequest, type IncomingHttpHeaders, type IncomingMessage} from 'node:http';
import {text} from 'node:stream/consumers';

/** Options for an HTTP request. */
export type SendRequestOptions = {
	/** GET by default. */
	readonly method?: string;
	readonly headers?: Readonly<Record<string, string>>;
	/** The body as text; its content type is JSON unless the headers specify another. */
	readonly body?: string;
	/** Cancels the request. */
	readonly signal?: AbortSignal | undefined;
	/** Timeout in milliseconds; 30 000 by default. */
	readonly timeoutMilliseconds?: number;
};

/** A complete HTTP response. */
export type TextResponse = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly body: string;
};

const defaultTimeoutMilliseconds = 30_000;

/**
Sends a request over its own connection and resolves once the response headers are received.

@param url The full URL.
@param options The request.
@returns The response, whose body has not been read yet.
@example
```ts
const response = await openRequest('http://127.0.0.1:8080/healthz');
```
*/
export async function openRequest(url: string, options: SendRequestOptions = {}): Promise<IncomingMessage> {
	const timeout = AbortSignal.timeout(options.timeoutMilliseconds ?? defaultTimeoutMilliseconds);
	const request = startRequest(url, {
		agent: false,
		method: options.method ?? 'GET',
		headers: options.body === undefined ? {...options.headers} : {'content-type': 'application/json', ...options.headers},
		signal: options.signal ? AbortSignal.any([options.signal, timeout]) : timeout,
	});
	const responseEvent = once(request, 'response');
	request.end(options.body);
	const [response] = await responseEvent as [IncomingMessage];
	request.on('error', ignoreLateError);
	return response;
}

/**
Sends a request and reads the complete response.

@param url The full URL.
@param options The request.
@returns The response.
@example
```ts
const {status} = await sendRequest('http://127.0.0.1:8080/healthz');
```
*/
export async function sendRequest(url: string, options: SendRequestOptions = {}): Promise<TextResponse> {
	const response = await openRequest(url, options);
	return {status: response.statusCode ?? 0, headers: response.headers, body: await text(response)};
}

// After the headers are received, the reader of the body gets the same error.
function ignoreLateError(): void {
	// Handled by the reader of the body.
}
