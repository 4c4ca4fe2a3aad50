import {type IncomingHttpHeaders} from 'node:http';

/**
Checks whether the body of a message is in a transfer coding besides chunks, which nothing here decodes (RFC 9112, section 6.1).

@param headers The headers of the message.
@returns Whether it is.
@example
```ts
hasTransferCoding({'transfer-encoding': 'gzip, chunked'}); // true
```
*/
export function hasTransferCoding({'transfer-encoding': coding}: Pick<IncomingHttpHeaders, 'transfer-encoding'>): boolean {
	return coding !== undefined && coding.trim().toLowerCase() !== 'chunked';
}
