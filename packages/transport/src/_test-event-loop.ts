import {once} from 'node:events';
import {type AddressInfo, connect, createServer} from 'node:net';

/** A client connection with received data that has not been read yet. */
export type PendingInputConnection = {
	readonly close: () => void;
};

/**
Connects to a server that sends data immediately.

@param onInput Called when the data is read.
@returns The open connection, before its data is read.
*/
export async function connectWithPendingInput(onInput: () => void): Promise<PendingInputConnection> {
	const server = createServer(socket => {
		socket.write('answer');
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
	socket.on('data', onInput);
	await once(socket, 'connect');
	return {
		close() {
			socket.destroy();
			server.close();
		},
	};
}

/**
Blocks the event loop.

@param milliseconds The duration.
*/
export function blockEventLoop(milliseconds: number): void {
	const end = performance.now() + milliseconds;
	while (performance.now() < end) {
		// Busy wait.
	}
}
