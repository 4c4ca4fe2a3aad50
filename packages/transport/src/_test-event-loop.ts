import {once} from 'node:events';
import {type AddressInfo, connect, createServer} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';

const turnMilliseconds = 10;

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

/**
Waits for a number of turns of the event loop, in each of which all sockets are polled. A process that is blocked takes one turn in that time.

@param count The number of turns, of at least 10 ms each.
*/
export async function takeTurns(count: number): Promise<void> {
	for (let turn = 0; turn < count; turn++) {
		await delay(turnMilliseconds);
	}
}
