import {once} from 'node:events';
import {createServer, type RequestListener} from 'node:http';
import {type AddressInfo} from 'node:net';
import {type ExecutionContext} from 'ava';

/**
Starts an HTTP server on a free port of the loopback interface until the test ends.

@param t The test.
@param handle Answers a request.
@returns The base address of the server.
*/
export async function listen(t: ExecutionContext, handle: RequestListener): Promise<string> {
	const listener = createServer(handle).listen(0, '127.0.0.1');
	t.teardown(() => {
		listener.closeAllConnections();
		listener.close();
	});
	await once(listener, 'listening');
	return `http://127.0.0.1:${(listener.address() as AddressInfo).port}`;
}
