import {type OutgoingHttpHeaders, type ServerResponse} from 'node:http';

/**
Sends a response with a JSON body.

@param response The response.
@param body The value to serialize as the body.
@param options The status code, 200 by default, and additional headers.
@example
```ts
answerJson(response, {ok: true});
```
*/
export function answerJson(response: ServerResponse, body: unknown, options: {readonly status?: number; readonly headers?: OutgoingHttpHeaders} = {}): void {
	response.writeHead(options.status ?? 200, {...options.headers, 'Content-Type': 'application/json'});
	response.end(JSON.stringify(body));
}
