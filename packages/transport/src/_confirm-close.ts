import {type Socket} from 'node:net';

/** A server that closed the connection ignores an empty line (RFC 9112, section 2.2). */
const emptyLine = '\r\n';

/**
Tells whether a connection whose other side has ended was closed rather than reset, to be called in its `end` event. If a reset follows closely on data, the event loop reports it as the end.

An empty line is written. The kernel rejects it if the connection was reset.
*/
export function confirmClose(socket: Socket, onResult: (wasClosed: boolean) => void): void {
	socket.write(emptyLine, error => {
		onResult(error === undefined || error === null);
	});
}
