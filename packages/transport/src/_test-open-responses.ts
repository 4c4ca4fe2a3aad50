import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {type AddressInfo, connect, type Socket} from 'node:net';

const head = 'GET / HTTP/1.1\r\nHost: desk.example\r\n\r\n';

/** Sends requests on one connection, and returns their responses once all have arrived. */
export async function open(t: {readonly teardown: (end: () => void) => void}, count: number): Promise<{readonly responses: readonly ServerResponse[]; readonly caller: Socket}> {
	const responses: ServerResponse[] = [];
	const server = createServer();
	t.teardown(() => {
		server.closeAllConnections();
		server.close();
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
	caller.resume();
	caller.write(head.repeat(count));
	await new Promise<void>(resolve => {
		server.on('request', (_message, response: ServerResponse) => {
			responses.push(response);
			if (responses.length === count) {
				resolve();
			}
		});
	});
	return {responses, caller};
}
