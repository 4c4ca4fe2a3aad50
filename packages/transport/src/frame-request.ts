/** A header field, as a name and a value. */
type HeaderField = readonly [name: string, value: string];

/** Options of {@linkcode frameRequest}. */
export type FrameRequestOptions = {
	readonly method: string;
	readonly body: Uint8Array;
};

/** The methods whose requests usually have no body, so that an empty one needs no length (RFC 9110, section 8.6). */
const methodsWithoutContent: ReadonlySet<string> = new Set(['GET', 'HEAD', 'DELETE', 'OPTIONS', 'TRACE', 'CONNECT']);
const framingFields: ReadonlySet<string> = new Set(['content-length', 'transfer-encoding']);

/**
Returns the header fields of a request with the length of its body, in place of any framing that they state.

A server takes a request without a length or chunks for one without a body, and reads the body as the next request (RFC 9112, section 6.3). Node.js adds neither for some methods.

@param headers The header fields.
@param options The method and the body.
@returns The header fields to send.
@example
```ts
frameRequest([['Host', 'desk.example']], {method: 'DELETE', body: new TextEncoder().encode('{}')}); // Adds Content-Length: 2
```
*/
export function frameRequest(headers: readonly HeaderField[], {method, body}: FrameRequestOptions): readonly HeaderField[] {
	const others = headers.filter(([name]) => !framingFields.has(name.toLowerCase()));
	const needsNoLength = body.byteLength === 0 && methodsWithoutContent.has(method);
	return needsNoLength ? others : [...others, ['Content-Length', String(body.byteLength)]];
}
