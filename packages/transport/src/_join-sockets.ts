import {type Socket} from 'node:net';
import {confirmClose} from './_confirm-close.js';
import {passRequests} from './_pass-requests.js';
import {type ReadAhead} from './_read-ahead.js';
import {isLongRequest, resetArrived} from './_request-settled.js';

/**
Passes bytes between an HTTP client and a server until either has ended. A reset of either side resets the other, so that a truncated answer does not look complete.
*/
export function joinSockets(caller: Socket, server: Socket, readAhead: ReadAhead): void {
	let isAnswerComplete = false;
	const endAnswer = (): void => {
		isAnswerComplete = true;
		caller.end();
	};

	const requests = passRequests(caller, server, readAhead);
	server.pipe(caller, {end: false});
	const endAfterServer = async (): Promise<void> => {
		if (isLongRequest(requests.passedBytes())) {
			await resetArrived();
		}

		confirmClose(server, wasClosed => {
			if (wasClosed) {
				endAnswer();
			} else {
				caller.resetAndDestroy();
			}
		});
	};

	server.on('end', () => {
		void endAfterServer();
	});
	server.on('error', () => {
		// A server that has not read a request may reset the connection behind its answer.
		if (isAnswerComplete && !caller.writableFinished) {
			caller.once('finish', () => {
				caller.resetAndDestroy();
			});
		} else {
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
		// Bytes that the kernel still holds are not delivered.
		if (requests.isAnswerDue()) {
			server.resetAndDestroy();
		} else {
			server.destroy();
		}

		caller.end();
	});
	caller.on('error', () => {
		server.resetAndDestroy();
	});
	caller.on('close', () => {
		server.destroy();
	});
}
