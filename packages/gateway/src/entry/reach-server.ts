import {connect} from 'node:net';
import {type ServerRecord} from '../servers/server-record.js';

/**
Looks whether a server takes a new connection: one that is at work on long prompts does, one without power or behind a cut does not.

No request is sent, so that none waits for a place there.

@param server The server.
@param timeout Milliseconds within which the connection must open.
@returns Whether it opened.
@example
```ts
const isAlive = await reachServer(server, 200);
```
*/
export async function reachServer({host, port}: Pick<ServerRecord, 'host' | 'port'>, timeout: number): Promise<boolean> {
	return new Promise(resolve => {
		const socket = connect({host, port});
		const timer = setTimeout(() => {
			socket.destroy();
		}, timeout);
		let isOpen = false;
		socket.on('connect', () => {
			isOpen = true;
			socket.destroy();
		});
		socket.on('error', () => {
			// That it did not open is the answer; the close follows.
			isOpen = false;
		});
		socket.on('close', () => {
			clearTimeout(timer);
			resolve(isOpen);
		});
	});
}
