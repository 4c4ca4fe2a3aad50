import {once} from 'node:events';
import {type AddressInfo, createServer, type Socket} from 'node:net';
import {type ExecutionContext} from 'ava';
import {ignore} from './_test-run.js';

/** Starts a server of bytes on a free port of the loopback interface, and returns the port. */
export async function listenRaw(t: ExecutionContext, onConnection: (socket: Socket) => void): Promise<number> {
	const sockets = new Set<Socket>();
	const server = createServer({allowHalfOpen: true}, socket => {
		sockets.add(socket);
		socket.on('error', ignore);
		socket.on('close', () => {
			sockets.delete(socket);
		});
		onConnection(socket);
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	return (server.address() as AddressInfo).port;
}
