import {type ClientRequest} from 'node:http';
import {type Socket} from 'node:net';
import {HeadLines} from './_head-lines.js';

/** The reason of a failure for a head that {@linkcode watchHead} found malformed. */
export const malformedHead = 'A line of the head of the answer ended with a carriage return or a line feed alone';

/** Options of {@linkcode watchHead}. */
export type WatchHeadOptions = {
	/** Called with a reason if the server sends more interim answers (1xx) than are read; by default, only the connection is closed. */
	readonly onExcess?: (reason: string) => void;
};

/** The number of interim answers that are read; a server may send them without end. */
const maximumInterimAnswers = 64;
const tooManyInterim = `More than ${maximumInterimAnswers} interim answers`;

/**
Watches the head of the answer to a request, since the HTTP client takes an empty line for the end of the head even if a carriage return or a line feed alone ends it. Such a head may be one that broke off, with the body following it (RFC 9112, section 2.2).

If interim answers are sent without end, the HTTP client does not get those beyond a maximum, and closes the connection.

@param request The request, before it has a connection.
@param options What to do then.
@returns A function that tells whether a line of the head ended otherwise than with a carriage return and a line feed, to be called when the head has arrived.
@example
```ts
const isMalformed = watchHead(request);
request.on('response', message => {
	if (isMalformed()) {
		message.destroy();
	}
});
```
*/
export function watchHead(request: ClientRequest, {onExcess}: WatchHeadOptions = {}): () => boolean {
	const lines = new HeadLines();
	let interimAnswers = 0;
	// The lines of a malformed head are not followed further.
	request.on('information', () => {
		interimAnswers++;
		if (interimAnswers > maximumInterimAnswers) {
			request.destroy(new Error(tooManyInterim));
		}
	});
	request.once('socket', (socket: Socket) => {
		const read = (chunk: Uint8Array): void => {
			const rest = chunk.subarray(lines.push(chunk, maximumInterimAnswers));
			if (lines.interimAnswers > maximumInterimAnswers) {
				// The parser cannot be stopped inside a chunk other than by what is no HTTP.
				rest.fill(0);
				onExcess?.(tooManyInterim);
			}
		};

		// Runs before the listener of the HTTP client, which parses the same bytes.
		socket.prependListener('data', read);
		// A kept connection outlives the request.
		request.once('response', () => {
			socket.off('data', read);
		});
	});
	return () => lines.areMalformed;
}
