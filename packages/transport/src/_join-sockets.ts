import {type Socket} from 'node:net';
import {Transform} from 'node:stream';
import {confirmClose} from './_confirm-close.js';
import {nextPoll} from './next-poll.js';

/** The bytes of a caller that wait for a poll, above which nothing more is read from it: more than one read yields. */
const pendingBytes = 131_072;

/**
Passes bytes between an HTTP client and a server until either has ended. A reset of either side resets the other, so that a truncated answer does not look complete.
*/
export function joinSockets(caller: Socket, server: Socket): void {
	let isAnswerComplete = false;
	const endAnswer = (): void => {
		isAnswerComplete = true;
		caller.end();
	};

	const requests = passAfterPoll();
	caller.pipe(requests, {end: false});
	requests.pipe(server, {end: false});
	server.pipe(caller, {end: false});
	server.on('end', () => {
		confirmClose(server, wasClosed => {
			if (wasClosed) {
				endAnswer();
			} else {
				caller.resetAndDestroy();
			}
		});
	});
	server.on('error', () => {
		if (!isAnswerComplete) {
			caller.resetAndDestroy();
		}
	});
	server.on('close', () => {
		if (!isAnswerComplete) {
			caller.resetAndDestroy();
		}
	});
	// An HTTP client ends its side early only if it has abandoned the request.
	caller.on('end', () => {
		server.destroy();
		caller.end();
	});
	caller.on('error', () => {
		server.resetAndDestroy();
	});
	caller.on('close', () => {
		requests.destroy();
		server.destroy();
	});
}

/** Passes bytes on after the next poll, so that a request that is read late is not passed on if it was abandoned meanwhile. */
function passAfterPoll(): Transform {
	return new Transform({
		writableHighWaterMark: pendingBytes,
		async transform(chunk: Uint8Array, _encoding, callback) {
			await nextPoll();
			callback(null, chunk);
		},
	});
}
