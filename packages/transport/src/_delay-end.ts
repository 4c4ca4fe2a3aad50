import {Socket} from 'node:net';

/**
Delays the end of a connection until a promise resolves; data arrives as before. An error meanwhile takes the place of the end.

The HTTP client closes a connection in its `end` event, so that nothing could be learned of it afterwards.
*/
export function delayEnd(socket: Socket, until: Promise<void>): void {
	const endAfterwards = async (): Promise<void> => {
		await until;
		Reflect.deleteProperty(socket, 'push');
		socket.push(null);
		socket.read(0);
	};

	socket.push = (chunk: unknown, encoding?: BufferEncoding) => {
		if (chunk !== null) {
			return Socket.prototype.push.call(socket, chunk, encoding);
		}

		void endAfterwards();
		return false;
	};
}
