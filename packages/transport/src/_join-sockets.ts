import {type Socket} from 'node:net';

/** Written to a server after it has ended its side: the kernel rejects the write if the connection was reset, and a server that closed it ignores an empty line (RFC 9112, section 2.2). */
const emptyLine = '\r\n';

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
		// If a reset follows closely on data, the event loop reports it as the end.
		server.write(emptyLine, error => {
			if (error) {
				caller.resetAndDestroy();
			} else {
				endAnswer();
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
