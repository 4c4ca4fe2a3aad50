import {type OutgoingHttpHeaders, type ServerResponse} from 'node:http';

/**
Answers with JSON.

@param response The response.
@param body The value to send.
@param options `status` (200 unless given) and further headers.
@example
```ts
answerJson(response, {ok: true});
```
*/
export function answerJson(response: ServerResponse, body: unknown, options: {readonly status?: number; readonly headers?: OutgoingHttpHeaders} = {}): void {
	response.writeHead(options.status ?? 200, {...options.headers, 'Content-Type': 'application/json'});
	response.end(JSON.stringify(body));
}
