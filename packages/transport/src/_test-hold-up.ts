import {once} from 'node:events';
import {type AddressInfo, connect, createServer} from 'node:net';

/** A connection on which a server has an answer for this process. */
export type AnsweredConnection = {
	readonly close: () => void;
};

/**
Opens a connection whose server answers at once.

@param onInput Called once the answer is read.
@returns The open connection, with its answer not read yet.
*/
export async function openAnswered(onInput: () => void): Promise<AnsweredConnection> {
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
Holds this process up: it does nothing else meanwhile.

@param milliseconds How long.
*/
export function holdUp(milliseconds: number): void {
	const end = performance.now() + milliseconds;
	while (performance.now() < end) {
		// Waits for the end.
	}
}
