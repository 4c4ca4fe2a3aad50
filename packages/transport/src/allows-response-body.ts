const statusesWithoutBody: ReadonlySet<number> = new Set([204, 304]);

/**
Checks whether a response may have a body (RFC 9110, section 6.4.1).

@param status The status of the response.
@param method The method of its request.
@returns Whether it may.
@example
```ts
allowsResponseBody(200, 'HEAD'); // false
```
*/
export function allowsResponseBody(status: number, method: string): boolean {
	return method !== 'HEAD' && !statusesWithoutBody.has(status);
}
