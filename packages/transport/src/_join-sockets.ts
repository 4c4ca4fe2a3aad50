import {type Socket} from 'node:net';
import {confirmClose} from './_confirm-close.js';

/**
Passes bytes between an HTTP client and a server until either has ended. A reset of either side resets the other, so that a truncated answer does not look complete.
*/
export function joinSockets(caller: Socket, server: Socket): void {
	let isAnswerComplete = false;
	const endAnswer = (): void => {
		isAnswerComplete = true;
		caller.end();
	};

	caller.pipe(server, {end: false});
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
		server.destroy();
	});
}
