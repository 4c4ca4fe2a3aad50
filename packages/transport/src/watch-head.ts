import {type ClientRequest, type IncomingMessage} from 'node:http';
import {type Socket} from 'node:net';
import {match} from 'ts-pattern';
import {type HeadProblem, HeadLines} from './_head-lines.js';
import {responseFraming} from './response-framing.js';

/** The reasons of a failure for a head that {@linkcode watchHead} found malformed. */
const reasons: Readonly<Record<HeadProblem, string>> = {
	'line-end': 'A line of the head of the answer ended with a carriage return or a line feed alone',
	'status-line': 'The status line of the answer is malformed, or its status is none that an answer may have',
	'header-field': 'A header field of the answer is malformed',
};

/** Options of {@linkcode watchHead}. */
export type WatchHeadOptions = {
	/** Called with a reason if the server sends more interim answers (1xx) than are read, or bytes behind the answer; by default, only the connection is closed. */
	readonly onExcess?: (reason: string) => void;
};

const lineFeed = 10;
const carriageReturn = 13;
const nothing = new Uint8Array();
/** The number of interim answers that are read; a server may send them without end. */
const maximumInterimAnswers = 64;
const tooManyInterim = `More than ${maximumInterimAnswers} interim answers`;

/**
Watches the head of the answer to a request for what the HTTP client accepts in a malformed one.

The client takes an empty line for the end of the head even if a carriage return or a line feed alone ends it. Such a head may be one that broke off, with the body following it (RFC 9112, section 2.2). It accepts any status of three digits, other protocols and, depending on its version, blanks in names of header fields, by which the framing of a body is lost.

The HTTP client gets neither interim answers beyond a maximum nor bytes that come behind a short answer in one chunk, and closes the connection.

@param request The request, before it has a connection.
@param options What to do then.
@returns A function that tells what is malformed in the head, to be called when it has arrived; undefined if nothing is.
@example
```ts
const headProblem = watchHead(request);
request.on('response', message => {
	const problem = headProblem();
	if (problem !== undefined) {
		message.destroy(new Error(problem));
	}
});
```
*/
export function watchHead(request: ClientRequest, {onExcess}: WatchHeadOptions = {}): () => string | undefined {
	const lines = new HeadLines();
	let interimAnswers = 0;
	// The lines of a malformed head are not followed further.
	request.on('information', () => {
		interimAnswers++;
		if (interimAnswers > maximumInterimAnswers) {
			request.destroy(new Error(tooManyInterim));
		}
	});
	let rest: Uint8Array = nothing;
	const read = (chunk: Uint8Array): void => {
		rest = chunk.subarray(lines.push(chunk, maximumInterimAnswers));
		if (lines.interimAnswers > maximumInterimAnswers) {
			// The parser cannot be stopped inside a chunk other than by what is no HTTP.
			rest.fill(0);
			onExcess?.(tooManyInterim);
		}
	};

	request.once('socket', (socket: Socket) => {
		// Runs before the listener of the HTTP client, which parses the same bytes.
		socket.prependListener('data', read);
	});
	request.once('response', message => {
		// A kept connection outlives the request.
		message.socket.off('data', read);
		const surplus = rest.subarray(lines.problem === undefined ? bodyLength(message, request.method) : rest.byteLength);
		rest = nothing;
		// The HTTP client skips empty lines.
		if (surplus.some(byte => byte !== lineFeed && byte !== carriageReturn)) {
			surplus.fill(0);
			onExcess?.(`${surplus.byteLength} bytes behind the answer`);
		}
	});
	return () => lines.problem && reasons[lines.problem];
}

/** Returns the length of a body; infinite where only its end tells. */
function bodyLength(message: IncomingMessage, method: string): number {
	return match(responseFraming(message, method))
		.with('none', () => 0)
		.with('length', () => Number(message.headers['content-length']))
		.with('chunks', 'close', () => Number.POSITIVE_INFINITY)
		.exhaustive();
}
